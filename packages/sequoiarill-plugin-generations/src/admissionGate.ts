/**
 * Lets requests in through the pure admission decision, and wakes those that wait.
 *
 * One timer serves the whole queue: it fires at the next deadline, so that a request that can't
 * start any more gets its final answer at once and not when its caller's patience ends.
 */
import * as Decisions from '@sequoiarill/decisions';
import type {
  Admission,
  AdmissionRequest,
  PermitUsage,
  Admitted,
  Permit,
  Refused,
  Ticket,
} from '@sequoiarill/decisions';

export interface GateCancelled {
  readonly kind: 'cancelled';
}

export type GateOutcome = Admitted | Refused | GateCancelled;

export interface AdmissionGate {
  readonly waitForPermit: (request: AdmissionRequest, signal: AbortSignal) => Promise<GateOutcome>;
  readonly recordFirstToken: (permit: Permit, ms: number) => void;
  readonly releasePermit: (permit: Permit, use: PermitUsage) => void;
  /** Tells what the engines of a model can take now; see `ConcurrencyLimit.setCapacity`. */
  readonly setCapacity: (model: string, slots: number, busyShare: number) => void;
  readonly close: () => void;
  readonly dumpLanes: () => ReturnType<Admission['listModelQueues']>;
}

export interface AdmissionGateOptions {
  readonly nextRandom: () => number;
  readonly getNowMs: () => number;
  /** Longest wait in the queue before a refusal, milliseconds. */
  readonly maxWaitMs: number;
  /** This router's even part of the generations that all engines of a model can run. */
  readonly getFairSlots: (model: string) => number;
}

/**
 * The decisions' target is the wait for a slot alone, measured in a model without a network; a real
 * first token also takes a round trip and one decoding step of a full engine.
 */
const FIRST_TOKEN_TARGET_MS = Decisions.DEFAULT_WAIT_TARGET_MS + 60;
const MIN_RUNNING = 8;
/** Streams of one router process at most; memory of a stream is in docs/CAPACITY.md. */
const MAX_RUNNING = 8_192;

export function createAdmissionGate(options: AdmissionGateOptions): AdmissionGate {
  const { getNowMs } = options;
  const waiting = new Map<Ticket, (outcome: GateOutcome) => void>();
  let timer: NodeJS.Timeout | undefined;
  const admission = Decisions.createAdmission({
    nextRandom: options.nextRandom,
    maxWaitMs: options.maxWaitMs,
    createLimit: (model) =>
      Decisions.createConcurrencyLimit({
        initial: Math.max(
          MIN_RUNNING,
          Math.min(MAX_RUNNING, Math.ceil(options.getFairSlots(model))),
        ),
        min: MIN_RUNNING,
        max: MAX_RUNNING,
        waitTargetMs: FIRST_TOKEN_TARGET_MS,
      }),
  });

  function runTickets(): void {
    for (const { ticket, outcome } of admission.takeNext(getNowMs())) {
      const wake = waiting.get(ticket);
      waiting.delete(ticket);
      wake?.(outcome);
    }
    setTimer();
  }

  function setTimer(): void {
    clearTimeout(timer);
    const deadlineMs = admission.getNextDeadlineMs();
    if (deadlineMs === undefined) return;
    timer = setTimeout(runTickets, Math.max(1, deadlineMs - getNowMs()));
  }

  async function waitForTicket(ticket: Ticket, signal: AbortSignal): Promise<GateOutcome> {
    return new Promise((resolve) => {
      const cancel = () => {
        waiting.delete(ticket);
        admission.removeTicket(ticket);
        resolve({ kind: 'cancelled' });
      };
      signal.addEventListener('abort', cancel, { once: true });
      waiting.set(ticket, (outcome) => {
        signal.removeEventListener('abort', cancel);
        resolve(outcome);
      });
      setTimer();
    });
  }

  return {
    async waitForPermit(request, signal) {
      const answer = admission.admitRequest(request, getNowMs());
      return answer.kind === 'queued' ? waitForTicket(answer.ticket, signal) : answer;
    },
    recordFirstToken: (permit, ms) => admission.recordFirstToken(permit, ms, getNowMs()),
    releasePermit(permit, use) {
      admission.releasePermit(permit, use, getNowMs());
      if (waiting.size > 0) runTickets();
    },
    setCapacity(model, slots, busyShare) {
      admission.setCapacity(model, slots, busyShare);
      if (waiting.size > 0) runTickets();
    },
    close: () => clearTimeout(timer),
    dumpLanes: () => admission.listModelQueues(),
  };
}
