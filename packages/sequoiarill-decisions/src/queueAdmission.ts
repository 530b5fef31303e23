/**
 * The decision at the door of one model's queue: in with a deadline, or away at once.
 *
 * Load pattern: saturation. Whoever can't start in time is told so now, when trying elsewhere or
 * later still helps, and not when its patience has run out.
 */
import type { AdmissionRequest, Ticket } from './admissionTypes';
import type { Cost } from './cost';
import type { ModelQueue, QueuedTicket } from './modelQueue';

/** The estimate errs; a ticket may wait this much longer than the bound before it is dropped. */
const DEADLINE_SLACK = 1.75;
/** More important work that waits this long turns less important work away, milliseconds. */
const BROWN_OUT_MS = 100;
const MAX_PRIORITY = 9;

export interface DoorBounds {
  readonly maxWaitMs: number;
  readonly maxLength: number;
}

export interface DoorAccepted {
  readonly kind: 'accept';
  readonly waitMs: number;
  readonly maxWaitMs: number;
  /** Dropped to make room: the newest of the organisation that holds most of a full queue. */
  readonly victim?: QueuedTicket;
}

export interface DoorRefused {
  readonly kind: 'refuse';
  readonly waitMs: number;
  readonly message: string;
}

export function decideQueueAdmission(
  modelQueue: ModelQueue,
  request: AdmissionRequest,
  cost: Cost,
  bounds: DoorBounds,
): DoorAccepted | DoorRefused {
  const { organisation, model } = request;
  const aboveMs = modelQueue.computeBacklogAboveMs(computeShedPriority(request));
  if (aboveMs > BROWN_OUT_MS) {
    const message = `overloaded: more important work waits for model ${model}`;
    return { kind: 'refuse', waitMs: aboveMs, message };
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
  const victim = modelQueue.queue.findHeaviestLast();
  if (victim === undefined || victim.organisation === organisation.name) {
    const message = `overloaded: ${bounds.maxLength} requests wait for model ${model}`;
    return { kind: 'refuse', waitMs, message };
  }
  return { kind: 'accept', waitMs, maxWaitMs, victim };
}

export function createQueuedTicket(
  request: AdmissionRequest,
  accepted: DoorAccepted,
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
    deadlineMs: nowMs + accepted.maxWaitMs * DEADLINE_SLACK,
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
