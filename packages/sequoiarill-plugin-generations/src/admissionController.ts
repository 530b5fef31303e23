/**
 * Applies the admission decisions to requests, and settles those that wait in the queue.
 *
 * One timer serves the whole queue: it fires at the next deadline, so that a request that can no
 * longer start is refused immediately and not when its caller times out.
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

export interface AdmissionCancelled {
  readonly kind: 'cancelled';
}

export type AdmissionOutcome = Admitted | Refused | AdmissionCancelled;

export interface AdmissionController {
  readonly waitForPermit: (
    request: AdmissionRequest,
    signal: AbortSignal,
  ) => Promise<AdmissionOutcome>;
  readonly recordFirstToken: (permit: Permit, ms: number) => void;
  readonly releasePermit: (permit: Permit, use: PermitUsage) => void;
  /** Sets the current capacity of a model's engines; see `ConcurrencyLimit.setCapacity`. */
  readonly setCapacity: (model: string, slots: number, busyShare: number) => void;
  readonly close: () => void;
  readonly dumpModelQueues: () => ReturnType<Admission['listModelQueues']>;
}

export interface AdmissionControllerOptions {
  readonly nextRandom: () => number;
  readonly getNowMs: () => number;
  /** Longest wait in the queue before a refusal, milliseconds. */
  readonly maxWaitMs: number;
  /** Slots of all engines of a model, divided evenly among the routers. */
  readonly getSlotShare: (model: string) => number;
}

/**
 * `DEFAULT_WAIT_TARGET_MS` covers only the wait for a slot, measured in a simulation without a network. A
 * real first token also takes a round trip and one decoding step of a full engine, hence the 60 ms.
 */
const FIRST_TOKEN_TARGET_MS = Decisions.DEFAULT_WAIT_TARGET_MS + 60;
const MIN_CONCURRENT_GENERATIONS = 8;
/** Bounds the memory of a router process; docs/CAPACITY.md has the memory of one stream. */
const MAX_CONCURRENT_GENERATIONS = 8_192;

export function createAdmissionController(
  options: AdmissionControllerOptions,
): AdmissionController {
  const { getNowMs } = options;
  const resolversByTicket = new Map<Ticket, (outcome: AdmissionOutcome) => void>();
  let timer: NodeJS.Timeout | undefined;
  const admission = Decisions.createAdmission({
    nextRandom: options.nextRandom,
    maxWaitMs: options.maxWaitMs,
    createLimit: (model) =>
      Decisions.createConcurrencyLimit({
        initial: Math.max(
          MIN_CONCURRENT_GENERATIONS,
          Math.min(MAX_CONCURRENT_GENERATIONS, Math.ceil(options.getSlotShare(model))),
        ),
        min: MIN_CONCURRENT_GENERATIONS,
        max: MAX_CONCURRENT_GENERATIONS,
        waitTargetMs: FIRST_TOKEN_TARGET_MS,
      }),
  });

  function resolveTickets(): void {
    for (const { ticket, outcome } of admission.takeNext(getNowMs())) {
      const resolveWait = resolversByTicket.get(ticket);
      resolversByTicket.delete(ticket);
      resolveWait?.(outcome);
    }
    setTimer();
  }

  function setTimer(): void {
    clearTimeout(timer);
    const deadlineMs = admission.getNextDeadlineMs();
    if (deadlineMs === undefined) return;
    timer = setTimeout(resolveTickets, Math.max(1, deadlineMs - getNowMs()));
  }

  async function waitForTicket(ticket: Ticket, signal: AbortSignal): Promise<AdmissionOutcome> {
    return new Promise((resolve) => {
      const cancel = () => {
        resolversByTicket.delete(ticket);
        admission.removeTicket(ticket);
        resolve({ kind: 'cancelled' });
      };
      signal.addEventListener('abort', cancel, { once: true });
      resolversByTicket.set(ticket, (outcome) => {
        signal.removeEventListener('abort', cancel);
        resolve(outcome);
      });
      setTimer();
    });
  }

  return {
    async waitForPermit(request, signal) {
      const decision = admission.admitRequest(request, getNowMs());
      return decision.kind === 'queued' ? waitForTicket(decision.ticket, signal) : decision;
    },
    recordFirstToken: (permit, ms) => admission.recordFirstToken(permit, ms, getNowMs()),
    releasePermit(permit, use) {
      admission.releasePermit(permit, use, getNowMs());
      if (resolversByTicket.size > 0) resolveTickets();
    },
    setCapacity(model, slots, busyShare) {
      admission.setCapacity(model, slots, busyShare);
      if (resolversByTicket.size > 0) resolveTickets();
    },
    close: () => clearTimeout(timer),
    dumpModelQueues: () => admission.listModelQueues(),
  };
}
