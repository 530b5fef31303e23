/** Sends requests to brittle targets through one router each, which admits no more than they have slots. */
import * as Decisions from '@sequoiarill/decisions';
import type { SlotGate } from '@sequoiarill/decisions';
import type {
  BrittleReport,
  Clock,
  ForwardingTarget,
  HeaderNames,
  RouterPeers,
} from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import * as Events from '../events';
import type { AnswerHead, ForwardRequest } from '../forwardRequest';
import type { RateLimitedLog } from '../rateLimitedLog';
import type { RelayRouter } from '../relay/relays';
import * as Incarnations from '../targets/targetIncarnation';
import type { PathMonitor } from '../targets/pathMonitor';

/** A place at a target; it must be given back once, when the request has ended there. */
export interface Slot {
  readonly release: (end: { readonly tookMs?: number; readonly wasRejected?: boolean }) => void;
}

export type SlotResult =
  | { readonly kind: 'admitted'; readonly slot: Slot }
  | { readonly kind: 'refused'; readonly retryAfterSeconds: number };

/** Where a request may go: to the target, or to the router that sends to it. */
export interface BrittleChoice {
  readonly target: ForwardingTarget;
  readonly router: RelayRouter | undefined;
}

export interface BrittleTargets {
  /** Records the head of an answer of a target of the service, also one that came through a router. */
  readonly recordHead: (service: string, head: AnswerHead) => void;
  readonly isBrittle: (service: string) => boolean;
  /** Undefined where no target is left. */
  readonly choose: (
    request: ForwardRequest,
    targets: readonly ForwardingTarget[],
  ) => BrittleChoice | undefined;
  /** Waits for a free slot of a target that this router sends to. */
  readonly acquireSlot: (request: ForwardRequest, target: ForwardingTarget) => Promise<SlotResult>;
  readonly handleReport: (report: BrittleReport) => void;
  readonly removeMissing: (isCurrent: (target: ForwardingTarget) => boolean) => void;
  /** Requests sent at a time, by target. */
  readonly dumpState: () => Readonly<Record<string, number>>;
}

export interface BrittleTargetsOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly nextRandom: () => number;
  readonly headers: Pick<HeaderNames, 'brittle'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'reportBrittle'>;
  readonly paths: Pick<PathMonitor, 'getState'>;
  /** Whether a router did not take a request a moment ago. */
  readonly isAvoided: (router: RelayRouter) => boolean;
}

/** Routers that each router tells, in the order of their rank: three steps reach several hundred. */
const REPORT_FANOUT = 8;
const RANKING_TTL_MS = 500;
/** A request waits for a slot no longer than its answer is worth most, in multiples of its objective. */
const MAX_WAIT_OBJECTIVES = 1.5;
/** Of the time left, so that the target can still run the request. */
const MAX_WAIT_SHARE = 0.6;
const MS_PER_SECOND = 1_000;
const RETRY_SECONDS = { min: 0.3, max: 2 } as const;

interface Gate {
  readonly target: ForwardingTarget;
  readonly gate: SlotGate;
}

interface Ranking {
  readonly routers: readonly RelayRouter[];
  readonly rankedAtMs: number;
}

export function createBrittleTargets(options: BrittleTargetsOptions): BrittleTargets {
  const { clock, log, peers, paths } = options;
  const services = Decisions.createBrittleServices();
  /** By incarnation. */
  const gates = new Map<string, Gate>();
  const rankings = new Map<string, Ranking>();

  function sendReport(service: string, peer: string, ageMs: number): void {
    peers
      .reportBrittle(peer, { service, ageMs })
      .then((outcome) => {
        if (outcome.kind === 'failed') logUntold(peer, outcome.reason);
      })
      .catch((error: unknown) => logUntold(peer, String(error)));
  }

  function logUntold(peer: string, reason: string): void {
    log.logEvent(Events.BRITTLE_NOT_TOLD, { peer, reason });
  }

  /**
   * Failure: hundreds of routers learn that targets are brittle from an answer of their own, each after it has
   * sent a request that the target had to turn away.
   */
  function reportToFollowers(service: string, ageMs: number, isFirst: boolean): void {
    const ranked = Decisions.sortTargetRouters(peers.listRouters(), { life: service, zone: '' });
    const rank = ranked.indexOf(peers.self);
    if (rank < 0) return;
    const first = rank * REPORT_FANOUT + 1;
    const leader = isFirst && rank > 0 ? ranked.slice(0, 1) : [];
    const followers = ranked.slice(first, first + REPORT_FANOUT);
    [...leader, ...followers].forEach((peer) => sendReport(service, peer, ageMs));
  }

  function listRankedRouters(target: ForwardingTarget): readonly RelayRouter[] {
    const life = Incarnations.formatIncarnation(target);
    const nowMs = clock.getNowMs();
    const known = rankings.get(life);
    if (known !== undefined && nowMs - known.rankedAtMs < RANKING_TTL_MS) return known.routers;
    const locations = new Map(peers.listRouters().map((router) => [router.address, router]));
    const ranked = Decisions.sortTargetRouters([...locations.values()], {
      life,
      zone: target.zone,
    });
    const routers = ranked.flatMap((address) => {
      const { relayAddress, zone = '' } = locations.get(address) ?? {};
      if (address === peers.self) return [{ address, zone }];
      return relayAddress === undefined ? [] : [{ address: relayAddress, zone }];
    });
    rankings.set(life, { routers, rankedAtMs: nowMs });
    return routers;
  }

  /** The router that sends to the target; undefined for this one. */
  function findSender(target: ForwardingTarget): RelayRouter | undefined {
    const isPathOpen = paths.getState(target.service) === 'open';
    const sender = listRankedRouters(target).find((router) =>
      router.address === peers.self ? isPathOpen : !options.isAvoided(router),
    );
    return sender?.address === peers.self ? undefined : sender;
  }

  /** A target that has restarted is sent no more than those of its service that turned requests away. */
  function getGate(target: ForwardingTarget): SlotGate {
    const life = Incarnations.formatIncarnation(target);
    const existing = gates.get(life);
    if (existing !== undefined) return existing.gate;
    const others = [...gates.values()].filter((other) => other.target.service === target.service);
    const slots = Math.min(target.slots, ...others.map(({ gate }) => gate.getRoom()));
    const gate = Decisions.createSlotGate({
      slots: Math.max(1, slots),
      getNowMs: clock.getNowMs,
      waitMs: clock.waitMs,
    });
    gates.set(life, { target, gate });
    return gate;
  }

  function createSlot(gate: SlotGate): Slot {
    return {
      release({ tookMs, wasRejected = false }) {
        if (wasRejected) gate.recordRejection();
        gate.release(tookMs);
      },
    };
  }

  return {
    recordHead(service, head) {
      const nowMs = clock.getNowMs();
      const wasBrittle = services.isBrittle(service, nowMs);
      const text = Checks.getHeader(head, options.headers.brittle);
      services.recordAnswer(service, text !== undefined, nowMs);
      if (text !== undefined && !wasBrittle) {
        log.logEvent(Events.SERVICE_BRITTLE, { service, text });
      }
      if (!services.isReportDue(service, nowMs)) return;
      services.recordSent(service, nowMs);
      reportToFollowers(service, 0, true);
    },
    isBrittle: (service) => services.isBrittle(service, clock.getNowMs()),
    choose(request, targets) {
      const asked = request.relayTerms?.target;
      if (request.relayTerms !== undefined) {
        const target = targets.find((one) => Incarnations.formatIncarnation(one) === asked);
        return target === undefined ? undefined : { target, router: undefined };
      }
      const target = targets[Math.floor(options.nextRandom() * targets.length)];
      return target === undefined ? undefined : { target, router: findSender(target) };
    },
    async acquireSlot({ route, expiresAtMs, closed }, target) {
      const gate = getGate(target);
      const leftMs = expiresAtMs - clock.getNowMs();
      const maxWaitMs = Math.min(leftMs * MAX_WAIT_SHARE, route.objectiveMs * MAX_WAIT_OBJECTIVES);
      const outcome = await gate.acquire({ priority: route.priority, maxWaitMs }, closed);
      if (outcome.kind === 'admitted') return { kind: 'admitted', slot: createSlot(gate) };
      const seconds = outcome.retryAfterMs / MS_PER_SECOND;
      const { min, max } = RETRY_SECONDS;
      return { kind: 'refused', retryAfterSeconds: Math.min(max, Math.max(min, seconds)) };
    },
    handleReport({ service, ageMs }) {
      if (!services.recordReport(service, ageMs, clock.getNowMs())) return;
      reportToFollowers(service, ageMs, false);
    },
    removeMissing(isCurrent) {
      for (const [life, { target }] of gates) if (!isCurrent(target)) gates.delete(life);
      const nowMs = clock.getNowMs();
      for (const [life, { rankedAtMs }] of rankings) {
        if (nowMs - rankedAtMs >= RANKING_TTL_MS) rankings.delete(life);
      }
    },
    dumpState: () =>
      Object.fromEntries([...gates].map(([life, { gate }]) => [life, gate.getRoom()])),
  };
}
