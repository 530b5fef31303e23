/** What the callers of requests are told that are still open when the router stops. */
import * as Events from './events';
import * as EventStreams from './eventStream';
import type { Exchange, HandlerDependencies } from './exchange';
import * as Faults from './faults';
import type { Fault } from './faults';
import * as Outcomes from './outcomes';
import * as Refusals from './refusals';
import * as Services from './services';

const RETRY_AFTER_SECONDS = 1;
const STOPPED = 'The router was stopped.';

const LOST: Fault = Outcomes.createFailureFault({
  kind: 'lost',
  message: STOPPED,
  usage: { promptTokens: 0, completionTokens: 0 },
  retryAfterSeconds: RETRY_AFTER_SECONDS,
});

export function sendLastReply(deps: HandlerDependencies, exchange: Exchange): void {
  const { response, requestId, organisation, path } = exchange;
  // The whole answer is on its way to the caller.
  if (response.destroyed || response.writableEnded) return;
  const fields = { requestId, organisation: organisation.name, path };
  if (response.headersSent) {
    response.end(EventStreams.formatErrorEvent(LOST));
    deps.context.logEvent(Events.ENDED_BY_STOP, fields);
    return;
  }
  response.setHeader('connection', 'close');
  if (!exchange.request.complete) Refusals.refuseRequest(deps, exchange, Faults.DRAINING);
  else if (Services.isServicePath(path)) Services.refuseUnknown(deps, exchange, STOPPED);
  else Refusals.refuseRequest(deps, exchange, LOST);
  deps.context.logEvent(Events.ENDED_BY_STOP, { ...fields, status: response.statusCode });
}
