/** HTTP client of one connection that takes neither its reset nor a late answer for what is due. */
import * as Undici from 'undici';

import * as ConnectionEnds from './connectionEnds';
import * as PausedResponses from './pausedResponses';

export const REQUEST_ID_HEADER = 'x-request-id';

/** Ids of earlier requests by which a late answer is known. */
const MAX_REMEMBERED_IDS = 32;
const RESET = 'the connection was reset at the end of an answer without framing';
const OTHER_REQUEST = 'answer to another request';

function findRequestId({ headers }: Undici.Dispatcher.DispatchOptions): string | undefined {
  const id = (headers as Readonly<Record<string, unknown>> | undefined)?.[REQUEST_ID_HEADER];
  return typeof id === 'string' ? id : undefined;
}

/**
 * Opens the client of one connection of a pool; an answer fails where it is not known to be the whole answer to its
 * request. Requests name their ids in `REQUEST_ID_HEADER`, as an object of headers.
 *
 * Failure: an answer without framing ends with its connection, the HTTP client takes a reset for that end, and a part of
 * an answer looks like the whole one. Listeners that come before those of the client see the reset.
 *
 * Failure: a target sends a second answer to a request where that to the next one is due. Targets that echo ids reveal
 * it; an id that this connection has not carried is the target's own.
 */
export function openCheckedClient(
  origin: string | URL,
  options: Undici.Client.Options,
): Undici.Dispatcher {
  const connect = Undici.buildConnector(options.connect as Undici.buildConnector.BuildOptions);
  const earlierIds: string[] = [];
  const pauseGuard = PausedResponses.createPauseGuard();
  let isReset = false;
  const client = new Undici.Client(origin, {
    ...options,
    connect(connectOptions, callback) {
      connect(connectOptions, (...result) => {
        const [, socket] = result;
        isReset = false;
        earlierIds.length = 0;
        const recordReset = () => {
          isReset = true;
        };
        if (socket) {
          ConnectionEnds.watchReset(socket, recordReset);
          pauseGuard.watchSocket(socket);
        }
        callback(...result);
      });
    },
  });

  function recordId(id: string | undefined): void {
    if (id !== undefined) earlierIds.push(id);
    if (earlierIds.length > MAX_REMEMBERED_IDS) earlierIds.shift();
  }

  return client.compose((dispatch) => (dispatchOptions, handler) => {
    const id = findRequestId(dispatchOptions);
    const checked: Undici.Dispatcher.DispatchHandler = new Undici.DecoratorHandler(handler);
    const start = checked.onResponseStart?.bind(checked);
    const end = checked.onResponseEnd?.bind(checked);
    checked.onResponseStart = (controller, status, headers, statusMessage) => {
      const echoed = headers[REQUEST_ID_HEADER];
      const isForeign = echoed !== id && earlierIds.some((earlier) => earlier === echoed);
      if (isForeign) controller.abort(new Error(OTHER_REQUEST));
      else start?.(controller, status, headers, statusMessage);
    };
    checked.onResponseEnd = (controller, trailers) => {
      recordId(id);
      if (isReset) checked.onResponseError?.(controller, new Error(RESET));
      else end?.(controller, trailers);
    };
    return dispatch(dispatchOptions, pauseGuard.addGuard(checked));
  });
}
