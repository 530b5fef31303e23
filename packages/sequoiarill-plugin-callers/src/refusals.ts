/** Refuses requests: sends the error response and records the refusal in journal and metrics. */
import type { Exchange, HandlerDependencies } from './exchange';
import type { Fault } from './faults';
import * as Metrics from './metrics';
import * as Outcomes from './outcomes';
import type { GenerationFailure } from './outcomes';
import * as Replies from './replies';

export function refuseRequest(deps: HandlerDependencies, exchange: Exchange, fault: Fault): void {
  const { code, status } = fault;
  deps.context.journal.recordDecision(exchange.requestId, 'refused', fault.message, {
    code,
    status,
  });
  deps.context.metrics.addCount(Metrics.REFUSED, 1, { code });
  Replies.sendFault(exchange.response, fault);
}

/** Refuses a request whose generation failed before anything was written to the caller. */
export function refuseFailedGeneration(
  deps: HandlerDependencies,
  exchange: Exchange,
  outcome: GenerationFailure,
): void {
  const { requestId, response } = exchange;
  if (outcome.kind === 'cancelled' && response.destroyed) {
    deps.context.journal.recordDecision(requestId, 'cancelled', 'the caller disconnected', {
      organisation: exchange.organisation.name,
    });
    return;
  }
  refuseRequest(deps, exchange, Outcomes.createFailureFault(outcome));
}
