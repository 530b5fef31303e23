/** Paths of the API and their handlers. */
import * as Chat from './chat';
import type { Handler } from './exchange';
import * as Models from './models';
import * as Responses from './responses';
import * as Services from './services';

export interface Route {
  /** Path pattern in moleculer-web syntax. */
  readonly path: string;
  /** Handler by HTTP method; `*` matches every method. */
  readonly methods: Readonly<Record<string, Handler>>;
  /** Prefix of the request id, which is also the id of the created object. */
  readonly idPrefix: string;
  /**
   * Also served while draining: only this router holds the rest of a response running here, so
   * refusing a caller that reconnects to read it would truncate the answer.
   */
  readonly isServedWhileDraining?: true;
}

export const ANY_METHOD = '*';

export const ROUTES: readonly Route[] = [
  { path: '/v1/chat/completions', methods: { POST: Chat.handleChat }, idPrefix: 'chatcmpl' },
  { path: '/v1/responses', methods: { POST: Responses.handleCreateResponse }, idPrefix: 'resp' },
  {
    path: '/v1/responses/:id',
    methods: { GET: Responses.handleReadResponse },
    idPrefix: 'req',
    isServedWhileDraining: true,
  },
  {
    path: '/v1/responses/:id/cancel',
    methods: { POST: Responses.handleCancelResponse },
    idPrefix: 'req',
    isServedWhileDraining: true,
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
