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
  readonly releasePermit: (permit: Permit, outputTokens: number) => void;
  readonly close: () => void;
  readonly dumpLanes: () => ReturnType<Admission['listLanes']>;
}

export interface AdmissionGateOptions {
  readonly nextRandom: () => number;
  readonly getNowMs: () => number;
  /** Generations of a model that all its engines together can run. */
  readonly getSlots: (model: string) => number;
}

/** An engine's own part of the 1 s that a first token may take; the queue has the rest. */
const FIRST_TOKEN_TARGET_MS = 500;
const MIN_RUNNING = 8;
/** Streams of one router process at most; memory of a stream is in docs/CAPACITY.md. */
const MAX_RUNNING = 8_192;

export function createAdmissionGate(options: AdmissionGateOptions): AdmissionGate {
  const { getNowMs } = options;
  const waiting = new Map<Ticket, (outcome: GateOutcome) => void>();
  let timer: NodeJS.Timeout | undefined;
  const admission = Decisions.createAdmission({
    nextRandom: options.nextRandom,
    createLimit: (model) =>
      Decisions.createConcurrencyLimit({
        initial: Math.max(MIN_RUNNING, Math.min(MAX_RUNNING, options.getSlots(model))),
        min: MIN_RUNNING,
        max: MAX_RUNNING,
        targetMs: FIRST_TOKEN_TARGET_MS,
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
    releasePermit(permit, outputTokens) {
      admission.releasePermit(permit, { outputTokens }, getNowMs());
      if (waiting.size > 0) runTickets();
    },
    close: () => clearTimeout(timer),
    dumpLanes: () => admission.listLanes(),
  };
}
