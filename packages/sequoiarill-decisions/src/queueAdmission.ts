/**
 * Admission decision of one model's queue: queues a request with a deadline or refuses it at once.
 *
 * Load pattern: saturation. A caller whose request can't start in time is refused immediately, while
 * trying elsewhere or later still helps, and not after its timeout.
 */
import type { AdmissionRequest, Ticket } from './admissionTypes';
import type { Cost } from './cost';
import type { ModelQueue, QueuedTicket } from './modelQueue';

/** The estimated wait is inexact; a ticket may wait longer than the bound by this factor. */
const DEADLINE_SLACK_FACTOR = 1.75;
/** Less important work is refused while the backlog of more important work exceeds this time. */
const BROWNOUT_MS = 100;
const MAX_PRIORITY = 9;

export interface QueueAdmissionBounds {
  readonly maxWaitMs: number;
  readonly maxLength: number;
}

export interface QueueAdmissionAccepted {
  readonly kind: 'accept';
  readonly waitMs: number;
  readonly maxWaitMs: number;
  /** Dropped to make room: the last ticket of the organisation that takes up most of a full queue. */
  readonly victim?: QueuedTicket;
}

export interface QueueAdmissionRefused {
  readonly kind: 'refuse';
  readonly waitMs: number;
  readonly message: string;
}

export function decideQueueAdmission(
  modelQueue: ModelQueue,
  request: AdmissionRequest,
  cost: Cost,
  bounds: QueueAdmissionBounds,
): QueueAdmissionAccepted | QueueAdmissionRefused {
  const { organisation, model } = request;
  const backlogAboveMs = modelQueue.computeBacklogAboveMs(computeShedPriority(request));
  if (backlogAboveMs > BROWNOUT_MS) {
    const message = `overloaded: more important work waits for model ${model}`;
    return { kind: 'refuse', waitMs: backlogAboveMs, message };
  }
  const waitMs = modelQueue.computeWaitMs({
    organisation: organisation.name,
    weight: organisation.weight,
    work: cost.work,
  });
  const maxWaitMs = Math.min(bounds.maxWaitMs, request.maxWaitMs ?? bounds.maxWaitMs);
  if (waitMs > maxWaitMs) {
    const message =
      `overloaded: expected wait of ${Math.round(waitMs)} ms for model ${model} ` +
      `is above ${Math.round(maxWaitMs)} ms`;
    return { kind: 'refuse', waitMs, message };
  }
  if (modelQueue.queue.getLength() < bounds.maxLength) return { kind: 'accept', waitMs, maxWaitMs };
  const victim = modelQueue.queue.findEvictionCandidate();
  if (victim === undefined || victim.organisation === organisation.name) {
    const message = `overloaded: ${bounds.maxLength} requests wait for model ${model}`;
    return { kind: 'refuse', waitMs, message };
  }
  return { kind: 'accept', waitMs, maxWaitMs, victim };
}

export function createQueuedTicket(
  request: AdmissionRequest,
  accepted: QueueAdmissionAccepted,
  cost: Cost,
  nowMs: number,
): QueuedTicket {
  const { name, weight } = request.organisation;
  const shedPriority = computeShedPriority(request);
  const ticket: Ticket = {
    organisation: name,
    model: request.model,
    queuedAtMs: nowMs,
    expectedWaitMs: accepted.waitMs,
    deadlineMs: nowMs + accepted.maxWaitMs * DEADLINE_SLACK_FACTOR,
  };
  return {
    ticket,
    cost,
    shedPriority,
    organisation: name,
    weight,
    priority: request.priority ?? shedPriority,
    work: cost.work,
    queuedAtMs: nowMs,
  };
}

function computeShedPriority(request: AdmissionRequest): number {
  return Math.min(MAX_PRIORITY, Math.max(0, Math.floor(request.organisation.priority)));
}
