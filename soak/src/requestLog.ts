/**
 * Records requests, their results as the callers saw them, and changes by operators. All times come from
 * the same clock, in milliseconds.
 */

import * as Standins from '@sequoiarill/standins';

import type { ConfigurationChange } from './configuration';

/** `once`: a stream that may run once at most. */
export type RequestKind = 'stream' | 'once' | 'order' | 'read';

export function isStream(kind: RequestKind): boolean {
  return kind === 'stream' || kind === 'once';
}

/** Whether a request may run more than once. */
export function isRepeatable(kind: RequestKind): boolean {
  return kind === 'stream' || kind === 'read';
}

export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly organisation: string;
  /** Priority of a stream's route. */
  readonly priority: number;
  /** Whether the caller sends the body and reads the answer slowly. */
  readonly isSlow: boolean;
  readonly router: number;
  readonly body: string;
  /** First event requested: 1, or a later one where the caller resumes a broken stream. */
  readonly fromEvent: number;
  /** Id of the attempt that brought the first event, where the caller resumes a stream. */
  readonly resumes?: string;
  /** Incarnation of the router's process and time when the request was sent. */
  readonly incarnation: number;
  readonly sentAtMs: number;
}

export type CallerResult =
  /** `text` is what arrived, complete or not. */
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly text: string;
      /** Whether the body arrived up to the end given by its framing. */
      readonly isComplete: boolean;
      /** Whether the headers carry the signature of a target. */
      readonly isSigned: boolean;
    }
  /** No response arrived. `wasRefused`: no connection was accepted, so that nothing was sent. */
  | { readonly kind: 'noAnswer'; readonly wasRefused?: boolean };

/** A request that tests whether a configuration version is in force at a router. */
export interface Probe {
  readonly router: number;
  /** Incarnation of the router's process, counted from 1. */
  readonly incarnation: number;
  readonly atMs: number;
  readonly version: number;
  /** Time at which the store acknowledged the write of that version. */
  readonly writtenAtMs: number;
  /** Whether the version was the newest one until the end of the probe. */
  readonly isNewest: boolean;
  readonly status: number;
}

/** An answer that said to a caller that its target leaves. */
export interface LeavingAnswer {
  readonly target: string;
  readonly router: number;
  readonly incarnation: number;
  readonly atMs: number;
}

export interface Leaving {
  readonly target: string;
  readonly writtenAtMs: number;
}

/** A period in which a fault affected a router or its connection to the store. */
export interface Disturbance {
  readonly router: number;
  readonly fromMs: number;
  untilMs: number;
  /** Whether the process of the router itself was paused or ended. */
  readonly isOfProcess: boolean;
}

/** A fault of a component, whether or not it counts as a disturbance of a router. */
export interface ComponentFault {
  /** `router N`, `target N`, or the id of an incarnation of a target. */
  readonly component: string;
  readonly fromMs: number;
  untilMs: number;
  /** A planned stop or SIGHUP, which excuses no request that ends without a status. */
  readonly isPlanned?: boolean;
}

/** A time in which targets of a service were silent together. */
export interface TargetSilence {
  readonly service: Standins.ServiceName;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A time in which configurations had a change. */
export interface ChangeTime {
  readonly change: ConfigurationChange;
  readonly fromMs: number;
  untilMs: number;
}

/** How a request ended for its caller. */
export interface RequestEnd {
  readonly atMs: number;
  /** Whether the caller's time was over, or it left before that. */
  readonly hasCallerLeft: boolean;
}

export interface RequestLog {
  readonly requests: Map<string, SentRequest>;
  readonly results: Map<string, CallerResult>;
  readonly probes: Probe[];
  readonly leavings: Leaving[];
  readonly leavingAnswers: LeavingAnswer[];
  readonly disturbances: Disturbance[];
  readonly faults: ComponentFault[];
  readonly silences: TargetSilence[];
  readonly changes: ChangeTime[];
  /** Those of the faults in which a target sends without end. */
  readonly floods: ComponentFault[];
  readonly ends: Map<string, RequestEnd>;
  /** Times at which engines crashed under the part that crashes them. */
  readonly crashesMs: number[];
}

/** Lists the complete events in what arrived of a stream, and the version that wrote each. */
export function listEvents(text: string): readonly Standins.VersionedEvent[] {
  return Standins.listVersionedEvents(text);
}

export function createRequestLog(): RequestLog {
  return {
    requests: new Map(),
    results: new Map(),
    probes: [],
    leavings: [],
    leavingAnswers: [],
    disturbances: [],
    faults: [],
    silences: [],
    changes: [],
    floods: [],
    ends: new Map(),
    crashesMs: [],
  };
}

/** Time that a router has to recover after a fault before the time limits apply to it again. */
const RECOVERY_MS = 4_000;

/** Whether a fault of the router's process lasted within the given time. */
export function hasProcessFault(
  { disturbances }: RequestLog,
  router: number,
  fromMs: number,
  untilMs: number,
): boolean {
  return disturbances.some(
    (one) =>
      one.isOfProcess && one.router === router && one.fromMs <= untilMs && one.untilMs >= fromMs,
  );
}

/**
 * Computes since when the time limits apply at the given time, to one router or to all of them. Infinite
 * while a fault lasts.
 */
export function computeUndisturbedSince(
  { disturbances }: RequestLog,
  atMs: number,
  router?: number,
): number {
  const ends = disturbances
    .filter((one) => one.fromMs <= atMs && (router === undefined || one.router === router))
    .map((one) => one.untilMs + RECOVERY_MS);
  return Math.max(Number.NEGATIVE_INFINITY, ...ends);
}

/** Counts attempts to go on with a stream, and those of them that brought an event. */
export function countResumed({ requests, results }: RequestLog) {
  const resumed = [...requests.values()].filter(({ resumes }) => resumes !== undefined);
  const served = resumed.filter(({ id }) => {
    const result = results.get(id);
    return result?.kind === 'answer' && listEvents(result.text).length > 0;
  });
  return { resumed: resumed.length, resumedServed: served.length };
}
