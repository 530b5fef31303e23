/** One request of a caller as the handlers see it. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type {
  ConfigurationReader,
  GenerationRunner,
  Organisation,
  OrderRunner,
  PluginContext,
} from '@sequoiarill/types';

import type { CursorSigner } from './cursors';
import type { RequestEntry } from './requestStates';
import type { ResponseStore } from './responseStore';
import type { CallersSettings } from './settings';

/** What every handler may use. */
export interface Front {
  readonly context: Pick<PluginContext, 'clock' | 'journal' | 'logEvent' | 'metrics'>;
  readonly settings: CallersSettings;
  readonly configuration: ConfigurationReader;
  readonly generations: GenerationRunner;
  readonly orders: OrderRunner;
  readonly store: ResponseStore;
  readonly cursors: CursorSigner;
}

/** One request, its answer and whose it is. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly organisation: Organisation;
  /** Path below the origin, without the query. */
  readonly path: string;
  /** The query as the caller wrote it, with its `?`; empty without one. */
  readonly search: string;
  readonly query: URLSearchParams;
  /** What it waits for right now. */
  readonly state: RequestEntry;
  /** Aborted when the connection of the caller is closed. */
  readonly closed: AbortSignal;
}

/** Answers one request; must not throw for what a caller can send. */
export type Handler = (front: Front, exchange: Exchange) => Promise<void>;
