/** Types that request handlers work with. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type {
  ConfigurationReader,
  GenerationRunner,
  Organisation,
  OrderRunner,
  PluginContext,
} from '@sequoiarill/types';

import type { CursorSigner } from './cursors';
import type { TrackedRequest } from './requestStateTracker';
import type { ResponseStore } from './responseStore';
import type { CallersSettings } from './settings';

/** Dependencies shared by all handlers. */
export interface HandlerDependencies {
  readonly context: Pick<PluginContext, 'clock' | 'journal' | 'logEvent' | 'metrics'>;
  readonly settings: CallersSettings;
  readonly configuration: ConfigurationReader;
  readonly generations: GenerationRunner;
  readonly orders: OrderRunner;
  readonly store: ResponseStore;
  readonly cursors: CursorSigner;
}

/** A request, its response and the organisation it belongs to. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly organisation: Organisation;
  /** Request path without the query. */
  readonly path: string;
  /** The query exactly as sent, including the `?`; empty if there is none. */
  readonly search: string;
  readonly query: URLSearchParams;
  /** Current state of the request, for the state dump. */
  readonly state: TrackedRequest;
  /** Aborted when the caller's connection closes. */
  readonly closed: AbortSignal;
}

/** Handles one request; must not throw on any input that a caller can send. */
export type Handler = (deps: HandlerDependencies, exchange: Exchange) => Promise<void>;
