/** Refuses a request, and says so to caller, journal and metrics alike. */
import type { Exchange, Front } from './exchange';
import type { Fault } from './faults';
import * as Metrics from './metrics';
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
