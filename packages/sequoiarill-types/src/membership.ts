/**
 * State of routers and targets, exchanged between routers. It shows failures sooner than the
 * platform's VM list.
 */
import type { Unsubscribe } from './configuration';

export type PeerState = 'alive' | 'suspect' | 'dead' | 'leaving';

export interface Peer {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** `host:port` of the peer's listener for other routers. */
  readonly address: string;
  /** Increases with each start of the process. Facts about a lower one are ignored. */
  readonly incarnation: number;
  readonly state: PeerState;
  readonly configurationRevision: number;
}

export type TargetState = 'healthy' | 'slow' | 'dead' | 'leaving';

/** One router's observation of one target. */
export interface TargetReport {
  readonly target: string;
  readonly state: TargetState;
  /** Generations that run and wait at the target, if it reported them. */
  readonly running?: number;
  readonly waiting?: number;
}

export interface TargetHealth extends TargetReport {
  /** Router that made the observation. */
  readonly observer: string;
  /** Age of the observation, in milliseconds. */
  readonly ageMs: number;
}

/** Capability `membership`: the known peers and the health of targets. */
export interface Membership {
  readonly listPeers: () => readonly Peer[];
  readonly getTargetHealth: (target: string) => TargetHealth | undefined;
  /** Publishes this router's own observation to the zone's other routers, within two seconds. */
  readonly reportTarget: (report: TargetReport) => void;
  readonly subscribeTargets: (listener: (health: TargetHealth) => void) => Unsubscribe;
}
