/** Refuses a request, and says so to caller, journal and metrics alike. */
import type { Exchange, Front } from './exchange';
import type { Fault } from './faults';
import * as Metrics from './metrics';
import * as Outcomes from './outcomes';
import type { GenerationFailure } from './outcomes';
import * as Replies from './replies';

export function refuseRequest(front: Front, exchange: Exchange, fault: Fault): void {
  const { code, status } = fault;
  front.context.journal.recordDecision(exchange.requestId, 'refused', fault.message, {
    code,
    status,
  });
  front.context.metrics.addCount(Metrics.REFUSED, 1, { code });
  Replies.sendFault(exchange.response, fault);
}

/** A generation ended before anything was written. */
export function refuseFailure(front: Front, exchange: Exchange, outcome: GenerationFailure): void {
  const { requestId, response } = exchange;
  if (outcome.kind === 'cancelled' && response.destroyed) {
    front.context.journal.recordDecision(requestId, 'cancelled', 'the caller left', {
      organisation: exchange.organisation.name,
    });
    return;
  }
  refuseRequest(front, exchange, Outcomes.createFailureFault(outcome));
}
