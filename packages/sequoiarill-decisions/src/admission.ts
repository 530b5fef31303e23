/**
 * Admission control: decides whether a request starts at once, is queued or is refused.
 *
 * Without it, a saturated system (a burst, sustained overload, a few organisations that send most
 * of the load) accepts everything: every caller waits for its full timeout, and the work done for
 * callers that have left is lost. Three checks run in this order: the organisation's own limits
 * (429); brown-out, which refuses less important organisations while more important work waits
 * (503); the expected wait at the organisation's fair share of the measured drain rate (503).
 * Admitted requests wait briefly in a weighted fair queue and start as running generations end.
 */
import type * as Types from './admissionTypes';
import * as Costs from './cost';
import type { Cost } from './cost';
import * as QueueAdmissions from './queueAdmission';
import * as ModelQueues from './modelQueue';
import * as ModelQueueSets from './modelQueueSet';
import * as OrganisationLimits from './organisationLimits';
import * as OutputEstimates from './outputEstimates';
import * as Permits from './permits';
import * as RetryAfter from './retryAfter';

/**
 * With up to half a second for an engine's first token, this keeps the 95th percentile of the time
 * to the first token within 1 s.
 */
const DEFAULT_MAX_WAIT_MS = 400;
/** One engine prefills 10,000 tokens a second. */
const DEFAULT_PREFILL_MS_PER_TOKEN = 0.1;
const DEFAULT_MAX_QUEUE_LENGTH = 2_000;

export function createAdmission(options: Types.AdmissionOptions): Types.Admission {
  const bounds = {
    maxWaitMs: options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS,
    maxLength: options.maxQueueLength ?? DEFAULT_MAX_QUEUE_LENGTH,
  };
  const limiter = OrganisationLimits.createOrganisationLimiter();
  const estimates = OutputEstimates.createOutputEstimates();
  const retryAfter = RetryAfter.createRetryAfter(options.nextRandom);
  const modelQueues = ModelQueueSets.createModelQueueSet(options.createLimit);
  const permits = Permits.createPermits({
    modelQueues,
    limiter,
    estimates,
    prefillMsPerToken: options.prefillMsPerToken ?? DEFAULT_PREFILL_MS_PER_TOKEN,
  });
  const queuedByTicket = new Map<Types.Ticket, ModelQueues.QueuedTicket>();
  const evictions: Types.TicketOutcome[] = [];

  function admitRequest(request: Types.AdmissionRequest, nowMs: number): Types.AdmissionDecision {
    const modelQueue = modelQueues.getModelQueue(request.model);
    const { organisation } = request;
    const cost = computeRequestCost(request, estimates);
    const reservation = limiter.reserveUse({
      organisation: organisation.name,
      limits: organisation.limits,
      share: options.getLimitShare?.(organisation.name, nowMs) ?? 1,
      tokens: cost.tokens,
      nowMs,
    });
    if (reservation.kind === 'over') return refuseOverLimit(reservation);
    if (modelQueue.queue.getLength() > 0 || !modelQueue.hasRoom()) {
      return admitToQueue(modelQueue, request, cost, nowMs);
    }
    modelQueue.queue.recordStart(organisation.name, organisation.weight, cost.work);
    retryAfter.recordAdmitted(nowMs);
    const permitRequest = {
      organisation: organisation.name,
      model: request.model,
      cost,
      queuedAtMs: nowMs,
    };
    return { kind: 'admitted', permit: permits.createPermit(permitRequest, nowMs) };
  }

  function admitToQueue(
    modelQueue: ModelQueues.ModelQueue,
    request: Types.AdmissionRequest,
    cost: Cost,
    nowMs: number,
  ): Types.Queued | Types.Refused {
    const decision = QueueAdmissions.decideQueueAdmission(modelQueue, request, cost, bounds);
    if (decision.kind === 'refuse') {
      limiter.releaseUse(request.organisation.name, cost.tokens, 0);
      return refuseOverloaded(decision.waitMs, decision.message, nowMs);
    }
    const { victim } = decision;
    if (victim !== undefined) {
      modelQueue.removeTicket(victim);
      evictions.push(refuseTicket(victim, 'overloaded: the queue is full', nowMs));
    }
    const queued = QueueAdmissions.createQueuedTicket(request, decision, cost, nowMs);
    modelQueue.addTicket(queued);
    queuedByTicket.set(queued.ticket, queued);
    return { kind: 'queued', ticket: queued.ticket };
  }

  function refuseOverloaded(waitMs: number, message: string, nowMs: number): Types.Refused {
    retryAfter.recordRefused(nowMs);
    const retryAfterSeconds = retryAfter.computeSeconds(waitMs, nowMs);
    return { kind: 'refused', reason: 'overloaded', retryAfterSeconds, message };
  }

  function refuseTicket(
    queued: ModelQueues.QueuedTicket,
    message: string,
    nowMs: number,
  ): Types.TicketOutcome {
    queuedByTicket.delete(queued.ticket);
    limiter.releaseUse(queued.organisation, queued.cost.tokens, 0);
    const waitedMs = nowMs - queued.queuedAtMs;
    return { ticket: queued.ticket, outcome: refuseOverloaded(waitedMs, message, nowMs) };
  }

  function startTicket(queued: ModelQueues.QueuedTicket, nowMs: number): Types.TicketOutcome {
    queuedByTicket.delete(queued.ticket);
    retryAfter.recordAdmitted(nowMs);
    const { organisation, cost, queuedAtMs, ticket } = queued;
    const permitRequest = { organisation, model: ticket.model, cost, queuedAtMs };
    const permit = permits.createPermit(permitRequest, nowMs);
    return { ticket, outcome: { kind: 'admitted', permit } };
  }

  function takeNext(nowMs: number): readonly Types.TicketOutcome[] {
    const outcomes = evictions.splice(0);
    for (const modelQueue of modelQueues.listModelQueues()) {
      for (const queued of modelQueue.takeExpired(nowMs)) {
        outcomes.push(refuseTicket(queued, 'overloaded: no start within the bound', nowMs));
      }
      while (modelQueue.hasRoom()) {
        const queued = modelQueue.takeTicket(nowMs);
        if (queued === undefined) break;
        outcomes.push(startTicket(queued, nowMs));
      }
    }
    return outcomes;
  }

  function removeTicket(ticket: Types.Ticket): void {
    const queued = queuedByTicket.get(ticket);
    if (queued === undefined) return;
    queuedByTicket.delete(ticket);
    modelQueues.getModelQueue(ticket.model).removeTicket(queued);
    limiter.releaseUse(ticket.organisation, queued.cost.tokens, 0);
  }

  return {
    admitRequest,
    takeNext,
    removeTicket,
    recordFirstToken: permits.recordFirstToken,
    releasePermit: permits.releasePermit,
    getNextDeadlineMs: () => (evictions.length > 0 ? 0 : modelQueues.getNextDeadlineMs()),
    setCapacity: (model, slots, busyShare) =>
      modelQueues.getModelQueue(model).limit.setCapacity(slots, busyShare),
    listModelQueues: () => modelQueues.listModelQueues().map(ModelQueues.dumpModelQueue),
  };
}

function computeRequestCost(
  request: Types.AdmissionRequest,
  estimates: OutputEstimates.OutputEstimates,
): Cost {
  const { organisation, model, promptTokens, cachedTokens = 0, maxOutputTokens } = request;
  const expectedOutputTokens = estimates.getExpectedOutput(
    organisation.name,
    model,
    maxOutputTokens,
  );
  return Costs.computeCost({ promptTokens, cachedTokens, expectedOutputTokens });
}

function refuseOverLimit(overLimit: OrganisationLimits.OverLimit): Types.Refused {
  const { retryAfterSeconds, message } = overLimit;
  return { kind: 'refused', reason: 'organisationLimit', retryAfterSeconds, message };
}
