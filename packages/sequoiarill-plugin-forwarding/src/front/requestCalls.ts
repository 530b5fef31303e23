/** The calls that are opened for one request, by which it is known whether it may have run. */
import type { AnswerHead } from '../forwardRequest';
import type { TargetCall } from '../targets/targetCall';

export interface CallPlace {
  readonly stage: 'target' | 'router';
  /** Id of the target, or address of the router. */
  readonly target: string;
}

export interface CallTerms {
  readonly place: CallPlace;
  /** Whether the head says that the request has not run. */
  readonly isNotRun: (head: AnswerHead) => boolean;
}

type RecordHead = (head: AnswerHead) => void;

export interface RequestCalls {
  /** Opens a call with `openCall`, which is given a listener for its heads; a cancelled one after `close`. */
  readonly open: (terms: CallTerms, openCall: (recordHead: RecordHead) => TargetCall) => TargetCall;
  /** Whether the request was sent to a target or router that has not said that it did not run it. */
  readonly mayHaveRun: () => boolean;
  /** Number of times that it was sent to a target. */
  readonly countSends: () => number;
  /** Where it may have run, or was sent last; undefined before the first send. */
  readonly findPlace: () => CallPlace | undefined;
  /** Records that events of its stream were passed on. */
  readonly recordEvents: (count: number, nowMs: number) => void;
  readonly getProgress: () => CallProgress;
  /** Cancels the calls of which nothing was sent, and opens no others. */
  readonly close: () => void;
}

/** How far a request has come. */
export interface CallProgress {
  /** Events of its stream that were passed on. */
  readonly events: number;
  /** Undefined before the first one. */
  readonly lastEventAtMs: number | undefined;
  /** Whether a call is open; a stream between two targets has none. */
  readonly hasOpenCall: boolean;
}

interface OpenCall {
  readonly place: CallPlace;
  readonly call: TargetCall;
  isNotRun: boolean;
  isCancelled: boolean;
}

const CANCELLED_CALL: TargetCall = {
  readEvent: async () => ({ kind: 'cancelled' }),
  wasSent: () => false,
  cancel: () => undefined,
  drain: () => undefined,
  recordExcess: () => undefined,
};

export function createRequestCalls(): RequestCalls {
  const calls: OpenCall[] = [];
  let isClosed = false;
  let events = 0;
  let lastEventAtMs: number | undefined;

  function findRun(): OpenCall | undefined {
    return calls.findLast(({ call, isNotRun }) => !isNotRun && call.wasSent());
  }

  return {
    open({ place, isNotRun }, openCall) {
      if (isClosed) return CANCELLED_CALL;
      const call = openCall((head) => {
        opened.isNotRun = isNotRun(head);
      });
      const opened: OpenCall = { place, call, isNotRun: false, isCancelled: false };
      calls.push(opened);
      return {
        ...call,
        // Every call is cancelled when its attempt ends, also after a whole answer.
        cancel() {
          opened.isCancelled = true;
          call.cancel();
        },
      };
    },
    mayHaveRun: () => findRun() !== undefined,
    countSends: () =>
      calls.filter(({ place, call }) => place.stage === 'target' && call.wasSent()).length,
    findPlace: () => (findRun() ?? calls.at(-1))?.place,
    recordEvents(count, nowMs) {
      events += count;
      lastEventAtMs = nowMs;
    },
    getProgress: () => ({
      events,
      lastEventAtMs,
      hasOpenCall: calls.some(({ isCancelled }) => !isCancelled),
    }),
    close() {
      isClosed = true;
      // A connection that is established later would still carry the request.
      for (const { call } of calls) if (!call.wasSent()) call.cancel();
    },
  };
}
