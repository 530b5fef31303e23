/** Dependencies shared by the functions that forward requests. */
import type {
  FleetRetryBudget,
  LatencyAdmission,
  PromptEstimates,
  RunActivity,
  RunEstimates,
  StallPolicy,
  TargetChooser,
} from '@sequoiarill/decisions';
import type {
  Clock,
  Directory,
  ForwardingTarget,
  ForwardingWire,
  Metrics,
  Rollouts,
  Room,
  RouterPeers,
} from '@sequoiarill/types';

import type { StreamOrigins } from './origins/streamOrigins';
import type { Relays } from './relay/relays';
import type { RateLimitedLog } from './rateLimitedLog';
import type { QuotaBorrower } from './retryQuota';
import type { CrashGuard } from './crashes/crashGuard';
import type { ContactCheck } from './targets/contactCheck';
import type { EngineProbes } from './targets/engineProbes';
import type { PathMonitor } from './targets/pathMonitor';
import type { PeerContacts } from './targets/peerContacts';
import type { ForwardRequest } from './forwardRequest';
import type { RawHeader } from './front/headers';
import type { WaitingStreams } from './streams/waitingStreams';
import type { CopyCommands } from './streams/copyCommands';
import type { BrittleTargets } from './limits/brittleTargets';
import type { TargetLimits } from './limits/targetLimits';
import type { TargetNotices } from './targets/targetNotices';
import type { TargetRegistry } from './targets/targetRegistry';
import type { TargetCall } from './targets/targetCall';

export interface SendTerms {
  /** Headers that only a router may set. */
  readonly extraHeaders: readonly RawHeader[];
  /** Whether the request was sent before, here or through another router. */
  readonly isRepeat: boolean;
}

export interface ForwardingDependencies {
  readonly zone: string;
  readonly clock: Pick<Clock, 'getNowMs' | 'getRunningMs' | 'getReadDelayMs' | 'waitMs'>;
  readonly nextRandom: () => number;
  readonly wire: ForwardingWire;
  readonly directory: Directory;
  readonly peers: Pick<RouterPeers, 'listNearest' | 'borrowRetryQuota'>;
  readonly quota: QuotaBorrower;
  readonly rollouts: Pick<Rollouts, 'selectTargets' | 'isLeaving' | 'recordAttempt'>;
  readonly room: Omit<Room, 'setRepeatSource' | 'getFleetRepeats' | 'setLineSource'>;
  readonly registry: TargetRegistry;
  readonly paths: Pick<
    PathMonitor,
    'recordLoss' | 'getState' | 'isUnreachable' | 'checkSilence' | 'checkAnswers' | 'getSummary'
  >;
  readonly contacts: ContactCheck;
  readonly peerContacts: PeerContacts;
  readonly relays: Omit<Relays, 'removeMissing'>;
  readonly crashes: Pick<
    CrashGuard,
    | 'findBlock'
    | 'isHeld'
    | 'waitForInquiry'
    | 'startRun'
    | 'recordAnswer'
    | 'recordDisconnect'
    | 'hasExited'
  >;
  readonly brittle: Pick<BrittleTargets, 'recordHead' | 'isBrittle' | 'choose' | 'acquireSlot'>;
  readonly origins: Pick<StreamOrigins, 'recordBegun' | 'find'>;
  readonly limits: Pick<
    TargetLimits,
    'recordHead' | 'isAvailable' | 'acquirePermit' | 'getRetrySeconds'
  >;
  readonly notices: Pick<TargetNotices, 'isResting' | 'getRestMs'>;
  readonly chooser: TargetChooser;
  readonly log: RateLimitedLog;
  readonly metrics: Metrics;
  /** For services whose answers are not streamed. */
  readonly getAdmission: (service: string) => LatencyAdmission;
  readonly getBudget: (service: string) => FleetRetryBudget;
  readonly getPromptEstimates: (service: string) => PromptEstimates;
  readonly getRunEstimates: (service: string) => RunEstimates;
  readonly getStallPolicy: (service: string) => StallPolicy;
  /** Sends a request to a target; the caller must read the call to its end or cancel it. */
  readonly openCall: (
    request: ForwardRequest,
    target: ForwardingTarget,
    terms: SendTerms,
  ) => TargetCall;
  /** Load report of an engine; undefined when it does not respond within the timeout. */
  readonly readReport: EngineProbes['readReport'];
  readonly readCachedParts: EngineProbes['readCachedParts'];
  readonly createCopy: CopyCommands['createCopy'];
  readonly releaseCopy: CopyCommands['releaseCopy'];
  /** Replaces the connections to the target, which may be broken. */
  readonly renewConnections: (target: ForwardingTarget) => void;
  /** Events of the streams of this router, by target. */
  readonly activity: RunActivity;
  /** Streams that wait for room at engines. */
  readonly waits: Omit<WaitingStreams, 'wakeAll' | 'dumpState'>;
  /** Whether this process is about to end. */
  readonly isDraining: () => boolean;
}
