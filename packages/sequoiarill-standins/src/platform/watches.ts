/**
 * Watches: each is a response that stays open and receives one line for each revision with matching
 * changes.
 */
import type { ServerResponse } from 'node:http';

import * as Responses from './responses';
import type { WatchRequest } from './requests';
import type { Store, StoreRevision } from './store';
import * as Stores from './store';

export interface Watches {
  readonly openWatch: (request: WatchRequest, response: ServerResponse) => void;
  readonly getOpenCount: () => number;
  /** Closes the connection of every watch. */
  readonly closeAll: () => void;
}

export function createWatches(store: Store, progressMs: number): Watches {
  const openResponses = new Set<ServerResponse>();

  function openWatch(request: WatchRequest, response: ServerResponse): void {
    response.writeHead(200, { 'content-type': 'application/json' });
    sendResult(response, { created: true });
    const compacted = store.getCompactRevision();
    if (request.start_revision > 0 && request.start_revision < compacted) {
      sendResult(response, { canceled: true, compact_revision: String(compacted) });
      response.end();
      return;
    }
    if (request.start_revision > 0) sendHistory(request, response);
    watchStore(request, response);
  }

  function sendHistory(request: WatchRequest, response: ServerResponse): void {
    for (const past of store.listRevisionsFrom(request.start_revision)) {
      sendRevision(request, response, past);
    }
  }

  function watchStore(request: WatchRequest, response: ServerResponse): void {
    const unsubscribe = store.subscribeRevisions((revision) => {
      if (revision.revision >= request.start_revision) sendRevision(request, response, revision);
    });
    const timer = request.progress_notify ? startProgress(response) : undefined;
    openResponses.add(response);
    response.on('close', () => {
      clearInterval(timer);
      openResponses.delete(response);
      unsubscribe();
    });
  }

  /** A line without events reports the revision up to which nothing changed. */
  function startProgress(response: ServerResponse): NodeJS.Timeout {
    return setInterval(() => sendResult(response, {}), progressMs).unref();
  }

  function sendRevision(
    request: WatchRequest,
    response: ServerResponse,
    revision: StoreRevision,
  ): void {
    const range = { key: request.key, rangeEnd: request.range_end };
    const matching = revision.events.filter(({ stored }) => Stores.isInRange(range, stored.key));
    const events = matching.map((event) => Responses.buildEvent(event, request.prev_kv));
    if (events.length > 0) sendResult(response, { events });
  }

  function sendResult(response: ServerResponse, fields: Responses.GatewayResponse): void {
    const header = Responses.buildHeader(store.getRevision());
    response.write(`${JSON.stringify({ result: { header, ...fields } })}\n`);
  }

  return {
    openWatch,
    getOpenCount: () => openResponses.size,
    closeAll() {
      for (const response of openResponses) response.destroy();
    },
  };
}
