/** What routers know of each other and of the targets, sooner than the platform's VM list. */
import type { Unsubscribe } from './configuration';

export type PeerState = 'alive' | 'suspect' | 'dead' | 'leaving';

export interface Peer {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** `host:port` of its peer listener. */
  readonly address: string;
  /** Rises with each start of the process; facts of a lower one are ignored. */
  readonly incarnation: number;
  readonly state: PeerState;
  readonly configurationRevision: number;
}

export type TargetState = 'healthy' | 'slow' | 'dead' | 'leaving';

/** What one router saw of one target. */
export interface TargetReport {
  readonly target: string;
  readonly state: TargetState;
  /** Generations running and waiting there, where the target said so. */
  readonly running?: number;
  readonly waiting?: number;
}

export interface TargetHealth extends TargetReport {
  /** Router that saw it. */
  readonly observer: string;
  /** Since it was seen, in milliseconds. */
  readonly ageMs: number;
}

/** Capability `membership`. */
export interface Membership {
  readonly listPeers: () => readonly Peer[];
  readonly getTargetHealth: (target: string) => TargetHealth | undefined;
  /** Tells this router's own observation; reaches the zone's other routers within two seconds. */
  readonly reportTarget: (report: TargetReport) => void;
  readonly subscribeTargets: (listener: (health: TargetHealth) => void) => Unsubscribe;
}
