/** Paths of the API and who answers them. */
import * as Chat from './chat';
import type { Handler } from './exchange';
import * as Models from './models';
import * as Responses from './responses';
import * as Services from './services';

export interface Route {
  /** In moleculer-web's notation. */
  readonly path: string;
  /** Handler by method; a wildcard takes every method. */
  readonly methods: Readonly<Record<string, Handler>>;
  /** First part of the request id, which is also the id of what is made. */
  readonly idPrefix: string;
  /**
   * Answered while draining too: only this router has the rest of a response that runs here, so
   * refusing a caller who comes back for it would cut the answer.
   */
  readonly isOfRunning?: true;
}

export const ANY_METHOD = '*';

export const ROUTES: readonly Route[] = [
  { path: '/v1/chat/completions', methods: { POST: Chat.handleChat }, idPrefix: 'chatcmpl' },
  { path: '/v1/responses', methods: { POST: Responses.handleCreateResponse }, idPrefix: 'resp' },
  {
    path: '/v1/responses/:id',
    methods: { GET: Responses.handleReadResponse },
    idPrefix: 'req',
    isOfRunning: true,
  },
  {
    path: '/v1/responses/:id/cancel',
    methods: { POST: Responses.handleCancelResponse },
    idPrefix: 'req',
    isOfRunning: true,
  },
  { path: '/v1/models', methods: { GET: Models.handleListModels }, idPrefix: 'req' },
  { path: '/v1/models/:id', methods: { GET: Models.handleReadModel }, idPrefix: 'req' },
  { path: '/v1/services/:service', methods: { '*': Services.handleService }, idPrefix: 'order' },
  {
    path: '/v1/services/:service/(.*)',
    methods: { '*': Services.handleService },
    idPrefix: 'order',
  },
];
