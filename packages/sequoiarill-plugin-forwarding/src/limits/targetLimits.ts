/** Enforces, together with the other routers, the rate limits that targets announce in their answers. */
import * as Decisions from '@sequoiarill/decisions';
import type { CountSenders } from '@sequoiarill/decisions';
import type {
  Clock,
  ForwardingTarget,
  HeaderNames,
  ObservedLimit,
  GrantedPermits,
  RateLimitedTarget,
  PermitsRequest,
  RouterPeers,
} from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import type { RateLimitedLog } from '../rateLimitedLog';
import * as Events from '../events';
import type { AnswerHead } from '../forwardRequest';
import * as Incarnations from '../targets/targetIncarnation';
import * as LimitUpdates from './limitUpdates';

export interface TargetLimits {
  /**
   * Records the limit in the head of an answer that the target itself gave, also where it reports that it
   * did not run the request.
   */
  readonly recordHead: (target: ForwardingTarget, head: AnswerHead) => void;
  /** Whether a request may be sent to the target now. */
  readonly isAvailable: (target: ForwardingTarget) => boolean;
  readonly recordSend: (target: ForwardingTarget) => void;
  /** Requests a permit for one of the targets from other routers; true when one of them is available now. */
  readonly acquirePermit: (targets: readonly ForwardingTarget[]) => Promise<boolean>;
  /** Time until this router may send to one of the targets. */
  readonly getRetrySeconds: (targets: readonly ForwardingTarget[]) => number;
  /** Handles another router's request for permits. */
  readonly grantPermits: (request: PermitsRequest) => GrantedPermits;
  /** Removes limits that were not received for a long time. */
  readonly removeOld: () => void;
  readonly dumpState: () => readonly string[];
}

export interface TargetLimitsOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly nextRandom: () => number;
  readonly headers: Pick<HeaderNames, 'rateLimit'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'borrowPermits'>;
  readonly countSenders?: CountSenders;
}

/** Minimum pause between two queries to the routers that send to a target. */
const MIN_QUERY_INTERVAL_MS = 1_000;
/** The pause grows with the fleet, because all other routers query the same few senders. */
const INTERVAL_PER_ROUTER_MS = 20;
/** A limit is removed when it is not received again within this number of query intervals. */
const RETENTION_INTERVALS = 3;
/** Lower bound of the retention, for a fleet of any size. */
const MIN_RETENTION_MS = 10_000;
/** Pause after a request for permits that granted none. */
const REFUSAL_DELAY_MS = 250;
/** Routers that send to the target and are asked for a permit for one request. */
const MAX_SENDERS_ASKED = 2;
/** Routers to which each router forwards an update: three hops reach several hundred. */
const UPDATE_FANOUT = 8;
/** Bounds of the retry delay: an earlier retry would be refused again, and callers do not wait longer. */
const RETRY_SECONDS = { min: 0.3, max: 2, unknown: 1 } as const;
const MS_PER_SECOND = 1_000;

/** Requests per second; undefined when the answer announces no limit or an invalid one. */
function parseLimit(text: string | undefined): number | undefined {
  const limit = text === undefined || text.trim() === '' ? Number.NaN : Number(text);
  return Number.isFinite(limit) && limit >= 0 ? limit : undefined;
}

function buildRateLimitedTarget(target: ForwardingTarget): RateLimitedTarget {
  return { life: Incarnations.formatIncarnation(target), zone: target.zone };
}

export function createTargetLimits(options: TargetLimitsOptions): TargetLimits {
  const { clock, headers, log, nextRandom, peers } = options;
  const shares = Decisions.createRateLimitShares({
    getSelf: () => peers.self,
    listRouters: peers.listRouters,
    getRetentionMs: () => Math.max(MIN_RETENTION_MS, getQueryIntervalMs() * RETENTION_INTERVALS),
    ...(options.countSenders === undefined ? {} : { countSenders: options.countSenders }),
  });
  /** Time of the next permitted query about a target. */
  const nextQueryAtMs = new Map<string, number>();
  const updates = LimitUpdates.createLimitUpdates();

  function getQueryIntervalMs(): number {
    return Math.max(MIN_QUERY_INTERVAL_MS, peers.listRouters().length * INTERVAL_PER_ROUTER_MS);
  }

  function recordLimit(target: RateLimitedTarget, observed: ObservedLimit, isDirect = false): void {
    const nowMs = clock.getNowMs();
    const before = shares.findLimit(target.life, nowMs)?.perSecond;
    shares.recordLimit(target, observed, nowMs);
    const perSecond = shares.findLimit(target.life, nowMs)?.perSecond;
    if (updates.recordLimit(target.life, perSecond, nowMs)) sendUpdate(target, isDirect);
    if (perSecond === before) return;
    log.logEvent(Events.LIMIT_NAMED, {
      target: target.life,
      perSecond: perSecond ?? null,
      before: before ?? null,
      senders: shares.listSenders(target.life, nowMs).length,
    });
  }

  /** Requests permits from one of the routers that send to the target; false when none were granted. */
  async function acquireFrom(target: RateLimitedTarget, sender: string, wanted: number) {
    const observed = shares.findLimit(target.life, clock.getNowMs());
    if (observed === undefined) return true;
    const { life, zone } = target;
    const outcome = await peers.borrowPermits(sender, { life, zone, wanted, known: observed });
    if (outcome.kind === 'failed') {
      log.logEvent(Events.LENDER_SILENT, { peer: sender, target: life, reason: outcome.reason });
      return false;
    }
    const { granted } = outcome;
    if (granted.known !== undefined) recordLimit(target, granted.known);
    shares.recordBorrowed(life, granted.permits, clock.getNowMs());
    return granted.permits > 0;
  }

  /**
   * Load pattern: a target announces a limit, and each of hundreds of routers would learn of it only through
   * a request of its own. The first router that receives it notifies the router that ranks first, and each
   * router forwards the update to a few that rank below it, so that no router has to notify all others.
   */
  function sendUpdate(target: RateLimitedTarget, isDirect: boolean): void {
    const ranked = shares.listRankedRouters(target.life, clock.getNowMs());
    const rank = ranked.indexOf(peers.self);
    const firstFollower = rank * UPDATE_FANOUT + 1;
    const followers = rank < 0 ? [] : ranked.slice(firstFollower, firstFollower + UPDATE_FANOUT);
    const leader = isDirect && rank !== 0 ? ranked.slice(0, 1) : [];
    for (const router of [...leader, ...followers]) startLimitQuery(target, router);
  }

  /** A request for zero permits sends the limit known here and returns the one known by the other router. */
  function startLimitQuery(target: RateLimitedTarget, router: string): void {
    acquireFrom(target, router, 0).catch((error: unknown) => {
      const reason = String(error);
      log.logEvent(Events.LENDER_SILENT, { peer: router, target: target.life, reason });
    });
  }

  function listOtherSenders(incarnation: string): readonly string[] {
    const senders = shares.listSenders(incarnation, clock.getNowMs());
    const others = senders.filter((sender) => sender !== peers.self);
    const start = Math.floor(nextRandom() * others.length);
    return [...others.slice(start), ...others.slice(0, start)];
  }

  function isQueryDue(key: string): boolean {
    return clock.getNowMs() >= (nextQueryAtMs.get(key) ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * Failure: a target no longer announces a limit, and routers that do not send to it receive no answer that
   * shows this. While they have requests for the target, they query the routers that send to it.
   */
  function updateLimit(target: RateLimitedTarget): void {
    const { life: incarnation } = target;
    const isSender = shares.getWaitMs(incarnation, clock.getNowMs()) !== undefined;
    if (isSender || !isQueryDue(incarnation)) return;
    nextQueryAtMs.set(incarnation, clock.getNowMs() + getQueryIntervalMs());
    const [sender] = listOtherSenders(incarnation);
    if (sender !== undefined) startLimitQuery(target, sender);
  }

  async function acquireOne(target: ForwardingTarget): Promise<boolean> {
    const limited = buildRateLimitedTarget(target);
    const { life: incarnation } = limited;
    if (!isQueryDue(`${incarnation} wanted`)) return false;
    for (const peer of listOtherSenders(incarnation).slice(0, MAX_SENDERS_ASKED)) {
      if (await acquireFrom(limited, peer, 1)) {
        return shares.isSendAllowed(incarnation, clock.getNowMs());
      }
    }
    nextQueryAtMs.set(`${incarnation} wanted`, clock.getNowMs() + REFUSAL_DELAY_MS);
    return false;
  }

  return {
    recordHead(target, head) {
      const perSecond = parseLimit(Checks.getHeader(head, headers.rateLimit));
      const observed = perSecond === undefined ? { ageMs: 0 } : { perSecond, ageMs: 0 };
      recordLimit(buildRateLimitedTarget(target), observed, true);
    },
    isAvailable(target) {
      if (shares.countTargets() === 0) return true;
      const limited = buildRateLimitedTarget(target);
      const isAvailable = shares.isSendAllowed(limited.life, clock.getNowMs());
      if (!isAvailable) updateLimit(limited);
      return isAvailable;
    },
    recordSend: (target) =>
      shares.recordSend(Incarnations.formatIncarnation(target), clock.getNowMs()),
    async acquirePermit(targets) {
      for (const target of targets) if (await acquireOne(target)) return true;
      return false;
    },
    getRetrySeconds(targets) {
      const waitsMs = targets
        .map((target) => shares.getWaitMs(Incarnations.formatIncarnation(target), clock.getNowMs()))
        .filter((waitMs) => waitMs !== undefined);
      const { min, max, unknown } = RETRY_SECONDS;
      const seconds = waitsMs.length === 0 ? unknown : Math.min(...waitsMs) / MS_PER_SECOND;
      return Math.min(max, Math.max(min, seconds));
    },
    grantPermits({ life, zone, wanted, known }) {
      recordLimit({ life, zone }, known);
      const nowMs = clock.getNowMs();
      const permits = shares.grantPermits(life, wanted, nowMs);
      const observed = shares.findLimit(life, nowMs);
      return observed === undefined ? { permits } : { permits, known: observed };
    },
    removeOld() {
      const nowMs = clock.getNowMs();
      shares.removeExpired(nowMs);
      for (const [key, atMs] of nextQueryAtMs) if (atMs <= nowMs) nextQueryAtMs.delete(key);
      updates.removeOld((incarnation) => shares.findLimit(incarnation, nowMs) !== undefined);
    },
    dumpState: () => shares.listTargets().map(({ life }) => life),
  };
}
