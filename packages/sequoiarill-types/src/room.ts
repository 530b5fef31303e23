/** Who gets room at the engines of a service: what routers tell each other, and what forwarding asks. */
import type { ForwardingRoute, ForwardingTarget } from './forwarding';

/** Work that one organisation asks for and gets, by level of urgency; 0 is the most urgent level. */
export interface OrganisationWork {
  /** Empty where callers need no API key, and for the sum of organisations that are not listed. */
  readonly organisation: string;
  /** Work asked for, per second, by level. The unit is that of `computeCost`. */
  readonly demand: readonly number[];
  /** Work that engines took, per second, by level. */
  readonly served: readonly number[];
}

/** Speed of one engine relative to the median engine of its service. */
export interface EngineSpeed {
  /** One incarnation of an engine. */
  readonly engine: string;
  /** Duration of the same work there, as a multiple of its duration at the median engine. */
  readonly factor: number;
}

/** Requests and retries of the current window of the retry budget. */
export interface RepeatTotals {
  readonly requests: number;
  readonly retries: number;
  /** Retries that the routers allow themselves in the window without the totals of the fleet. */
  readonly capacity: number;
}

/** What the retry budget of one router tells the others. */
export interface OwnRepeats extends RepeatTotals {
  /** Whether the process has run for a whole window. */
  readonly isSettled: boolean;
}

/** What one router, or one availability zone, knows of a service. */
export interface RoomFacts {
  readonly service: string;
  readonly organisations: readonly OrganisationWork[];
  readonly speeds: readonly EngineSpeed[];
  readonly repeats: RepeatTotals;
  /** Requests and retries of processes that have ended, as far as they are still in the window. */
  readonly endedRepeats: Pick<RepeatTotals, 'requests' | 'retries'>;
  /** Routers that the facts cover. */
  readonly routers: number;
  /** Those of them whose processes have run for a whole window of the retry budget. */
  readonly settledRouters: number;
}

export interface RoomMessage {
  /** `IP:port` of the sending router, as its peers know it. */
  readonly router: string;
  /** Differs after a restart and rises with each start. */
  readonly incarnation: number;
  /** Rises with each message of an incarnation. */
  readonly sequence: number;
  /** `router`: of the sender alone. `zone`: sums over the sender's zone, from the collector there. */
  readonly scope: 'router' | 'zone';
  readonly zone: string;
  /** The sender stops; these are its last facts. */
  readonly isEnding: boolean;
  readonly facts: readonly RoomFacts[];
}

export type RoomOutcome =
  | { readonly kind: 'facts'; readonly facts: readonly RoomFacts[] }
  | { readonly kind: 'failed'; readonly reason: string };

export interface UrgencyQuery {
  readonly service: string;
  readonly route: ForwardingRoute;
  /** Name; undefined where callers need no API key. */
  readonly organisation: string | undefined;
}

export interface StreamUrgency {
  /** 0 is the most urgent. */
  readonly level: number;
  readonly isWithinShare: boolean;
}

export interface WorkRecord {
  readonly service: string;
  readonly organisation: string | undefined;
  readonly level: number;
  /** The unit is that of `computeCost`. */
  readonly work: number;
}

/** Sums over the fleet, for the retry budget. */
export interface FleetRepeats extends RepeatTotals {
  readonly endedRequests: number;
  readonly endedRetries: number;
  /** Routers that the sums cover, including this one. */
  readonly routers: number;
  /** Those of them whose processes have run for a whole window: they know what ended processes have spent. */
  readonly settledRouters: number;
}

/** Capability `room`. */
export interface Room {
  /** Whether who gets room is decided for the service; if not, nothing waits and no rank is sent. */
  readonly isActive: (service: string) => boolean;
  /** Level of a request's urgency; undefined where the service is not active. */
  readonly getLevel: (query: UrgencyQuery) => number | undefined;
  /** Marks one new stream as within its organisation's share or beyond it. */
  readonly markStream: (record: Omit<WorkRecord, 'work'>) => StreamUrgency;
  /** A new stream has arrived. */
  readonly recordDemand: (record: WorkRecord) => void;
  /** An engine took a new stream. */
  readonly recordServed: (record: WorkRecord) => void;
  /** Time between two events of a run. */
  readonly recordGap: (target: ForwardingTarget, runId: string, ms: number) => void;
  /** A run has ended; its gaps count now. */
  readonly recordRunEnd: (target: ForwardingTarget, runId: string) => void;
  /** Time for which an engine prefilled a prompt that waited for no other. */
  readonly recordPrefill: (target: ForwardingTarget, prefill: PrefillSample) => void;
  /** Duration of work there relative to the median engine; 1 where nothing is known. */
  readonly getSpeedFactor: (target: ForwardingTarget) => number;
  /** Sets the function that returns this router's own figures for a service's retry budget. */
  readonly setRepeatSource: (read: (service: string) => OwnRepeats) => void;
  /** Undefined where no sums of the last seconds are known. */
  readonly getFleetRepeats: (service: string) => FleetRepeats | undefined;
  /** Sets the function that describes what waits in this router, for the state dump. */
  readonly setLineSource: (dump: () => Readonly<Record<string, unknown>>) => void;
}

export interface PrefillSample {
  readonly tokens: number;
  readonly ms: number;
}
