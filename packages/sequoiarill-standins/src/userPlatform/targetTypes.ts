/** Settings, faults and interface of the stand-in for targets. */
import type { IncomingHttpHeaders } from 'node:http';

import type { Silence } from '../shared/silence';
import type { EndlessFlow, EndlessOptions } from './endlessAnswers';

export type TargetFault =
  | 'none'
  /** Resets the connection once a stream has sent `EVENTS_BEFORE_FAULT` events. */
  | 'dieInStream'
  /** Sends streams without framing, and ends the connection within an event after the same number of events. */
  | 'unframedBreak'
  /** Sends an answer without framing, and exits: of a stream after the same number of events, of another one halfway. */
  | 'unframedExit'
  /**
   * After the same number of events, the target sends and answers nothing more, but closes no
   * connection.
   */
  | 'fallSilentInStream'
  /**
   * Sends streams and other answers without framing, and resets the connection together with the last bytes: of a stream
   * after the same number of events, of another answer halfway through.
   */
  | 'unframedReset'
  /** Sends non-streaming answers without a length and closes the connection halfway through. */
  | 'unframedHalf'
  /** Sends a second answer, with the id of another request, after each answer. */
  | 'extraAnswer'
  /** Refuses the request without running it, as with a full queue. */
  | 'shed'
  /**
   * Refuses each request when it comes for the first time, and sends the refusal a second time where the answer to the
   * next request on the same connection is due.
   */
  | 'lateRefusal'
  /** Runs the request and answers with a server error. */
  | 'serverError'
  /** Runs the request and closes the connection without an answer. */
  | 'loseAnswer';

/** Faults of streams, and of other answers, that come without framing. */
export const UNFRAMED_STREAMS: ReadonlySet<TargetFault> = new Set([
  'unframedBreak',
  'unframedExit',
  'unframedReset',
]);
export const UNFRAMED_ANSWERS: ReadonlySet<TargetFault> = new Set([
  'unframedHalf',
  'unframedExit',
  'unframedReset',
]);

/** One request that a target has read, whether it ran it or not. */
export interface TargetArrival {
  readonly requestId: string;
  /** `performance.now()`, milliseconds. */
  readonly atMs: number;
  /** Time that the request allowed the target from then on, milliseconds; undefined where it named none. */
  readonly limitMs: number | undefined;
}

/** One request that a target started to run. */
export interface TargetRun {
  readonly requestId: string;
  readonly path: string;
  /** The organisation that the request named in its header. */
  readonly organisation: string;
  /** Whether the request carried the caller's API key. */
  readonly hasApiKey: boolean;
  /** `performance.now()`, milliseconds. */
  readonly startedAtMs: number;
}

export interface TargetOptions {
  /** `IP:port`; port 0 lets the operating system choose one. */
  readonly listen?: string;
  /** Number of events in each stream. */
  readonly eventCount?: number;
  /** Time between two events. */
  readonly eventMs?: number;
  /** Version of its software, which it names in each event; undefined: its events name none. */
  readonly version?: string;
  /** Simulates a crash of the process as soon as it starts to run a request with this path. */
  readonly crashPath?: string;
  /** Simulates a crash of the process some time after it has begun to answer certain prompts. */
  readonly promptCrash?: PromptCrash;
  /** Returns the time for which it holds the next stream before it runs it. */
  readonly drawHoldMs?: () => number;
}

/** `reset`: closes all connections and its listener; `silence`: falls silent, with all of them open. */
export type CrashWay = 'reset' | 'silence';

export interface PromptCrash {
  /** Ids of the parts of a prompt of which each makes it crash. */
  readonly parts: readonly string[];
  /** Time from the head of the answer to the crash; events are sent meanwhile. */
  readonly afterMs: number;
  readonly way?: CrashWay;
  readonly onCrash: () => unknown;
}

export interface TargetRoom {
  readonly slots: number;
  readonly runMs: number;
}

export interface TargetStandin extends Silence {
  readonly id: string;
  readonly start: () => Promise<string>;
  readonly stop: () => Promise<void>;
  readonly setFault: (fault: TargetFault) => void;
  /** Sets which answers are sent without end; undefined: none of those that begin from now on. */
  readonly setEndless: (options: EndlessOptions | undefined) => void;
  /** Lists the answers without end, in the order in which they started. */
  readonly listEndlessFlows: () => readonly EndlessFlow[];
  /**
   * Sets the limit, in requests per second, that its answers announce; undefined announces none.
   */
  readonly setAnnouncedLimit: (perSecond: number | undefined) => void;
  /** Sets whether all its answers say that it is about to stop. It continues to serve. */
  readonly setLeaving: (isLeaving: boolean) => void;
  /**
   * Sets the time, in seconds, for which its refusals with 503 ask for no requests; undefined asks
   * for none.
   */
  readonly setRequestedRest: (seconds: number | undefined) => void;
  /**
   * Sets how many rejections a second its answers say that it bears; undefined: they do not say so.
   */
  readonly setBrittle: (rejectionsPerSecond: number | undefined) => void;
  /** Limits the requests that run at a time; others are rejected. Each takes `runMs`. */
  readonly setRoom: (room: TargetRoom) => void;
  /** Lists the runs in the order in which they started. */
  readonly listRuns: () => readonly TargetRun[];
  /** Lists the headers of all requests, including those that were not run. */
  readonly listHeaders: () => readonly IncomingHttpHeaders[];
  /** Lists the same requests with the times at which they were read. */
  readonly listArrivals: () => readonly TargetArrival[];
  /** Counts the requests that were rejected for want of room. */
  readonly countRejected: () => number;
  /** Counts the requests that are running now; none once the target is silent for good. */
  readonly countInFlight: () => number;
}
