/** Keeps to the rates that targets name in their answers, together with the other routers. */
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
import type { BoundedLog } from '../boundedLog';
import * as Events from '../events';
import type { AnswerHead } from '../forwardRequest';
import * as TargetLives from '../targets/targetLife';
import * as LimitNews from './limitNews';

export interface TargetLimits {
  /** The head of an answer that is the target's own. */
  readonly recordHead: (target: ForwardingTarget, head: AnswerHead) => void;
  /** Whether a request may be sent there now. */
  readonly isOpen: (target: ForwardingTarget) => boolean;
  readonly recordSend: (target: ForwardingTarget) => void;
  /** Asks other routers for one request to one of the targets; true when `isOpen` holds for one now. */
  readonly borrowPermit: (targets: readonly ForwardingTarget[]) => Promise<boolean>;
  /** Time until this router may send to one of the targets, seconds. */
  readonly getRetrySeconds: (targets: readonly ForwardingTarget[]) => number;
  /** Answers another router that asks. */
  readonly lendPermits: (question: PermitsRequest) => GrantedPermits;
  /** Forgets limits that were not heard of for long. */
  readonly removeOld: () => void;
  readonly dumpState: () => readonly string[];
}

export interface TargetLimitsOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly nextRandom: () => number;
  readonly headers: Pick<HeaderNames, 'rateLimit'>;
  readonly log: Pick<BoundedLog, 'logEvent'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'borrowPermits'>;
  readonly countSenders?: CountSenders;
}

/** Pause between two questions to the routers that send to a target, milliseconds. */
const MIN_INTERVAL_MS = 1_000;
/** The pause grows with the fleet, since the same few routers are asked by all others. */
const INTERVAL_PER_ROUTER_MS = 20;
/** Intervals in which a limit must be heard again. */
const MEMORY_INTERVALS = 3;
/** The same for a fleet of any size. */
const MIN_MEMORY_MS = 10_000;
/** Pause after a question that lent nothing, milliseconds. */
const REFUSED_MS = 250;
/** Routers asked for one request. */
const MAX_LENDERS = 2;
/** Routers that each router passes news on to: three steps reach some hundred. */
const TOLD_BY_EACH = 8;
/** A caller that is told to come back sooner finds the same; one that waits longer leaves. */
const RETRY_SECONDS = { least: 0.3, most: 2, unknown: 1 } as const;
const MS_PER_SECOND = 1_000;

/** Requests a second; undefined where the answer names no limit, or one that cannot be read. */
function parseLimit(text: string | undefined): number | undefined {
  const limit = text === undefined || text.trim() === '' ? Number.NaN : Number(text);
  return Number.isFinite(limit) && limit >= 0 ? limit : undefined;
}

function buildLimited(target: ForwardingTarget): RateLimitedTarget {
  return { life: TargetLives.formatLife(target), zone: target.zone };
}

export function createTargetLimits(options: TargetLimitsOptions): TargetLimits {
  const { clock, headers, log, nextRandom, peers } = options;
  const limits = Decisions.createRateLimitShares({
    getSelf: () => peers.self,
    listRouters: peers.listRouters,
    getRetentionMs: () => Math.max(MIN_MEMORY_MS, getIntervalMs() * MEMORY_INTERVALS),
    ...(options.countSenders === undefined ? {} : { countSenders: options.countSenders }),
  });
  /** When other routers may be asked about a target again. */
  const askAgainMs = new Map<string, number>();
  const news = LimitNews.createLimitNews();

  function getIntervalMs(): number {
    return Math.max(MIN_INTERVAL_MS, peers.listRouters().length * INTERVAL_PER_ROUTER_MS);
  }

  function recordLimit(target: RateLimitedTarget, known: ObservedLimit, isFirstHand = false): void {
    const nowMs = clock.getNowMs();
    const before = limits.findLimit(target.life, nowMs)?.perSecond;
    limits.recordLimit(target, known, nowMs);
    const perSecond = limits.findLimit(target.life, nowMs)?.perSecond;
    if (news.recordLimit(target.life, perSecond, nowMs)) sendNews(target, isFirstHand);
    if (perSecond === before) return;
    log.logEvent(Events.LIMIT_NAMED, {
      target: target.life,
      perSecond: perSecond ?? null,
      before: before ?? null,
      senders: limits.listSenders(target.life, nowMs).length,
    });
  }

  /** One question to one of the routers that send there; false when nothing was lent. */
  async function borrowFrom(target: RateLimitedTarget, sender: string, wanted: number) {
    const known = limits.findLimit(target.life, clock.getNowMs());
    if (known === undefined) return true;
    const { life, zone } = target;
    const outcome = await peers.borrowPermits(sender, { life, zone, wanted, known });
    if (outcome.kind === 'failed') {
      log.logEvent(Events.LENDER_SILENT, { peer: sender, target: life, reason: outcome.reason });
      return false;
    }
    const { lent } = outcome;
    if (lent.known !== undefined) recordLimit(target, lent.known);
    limits.recordBorrowed(life, lent.permits, clock.getNowMs());
    return lent.permits > 0;
  }

  /**
   * Load pattern: a target names a limit, and each of hundreds of routers would learn of it by a request of
   * its own. The first one that hears tells the router that ranks first, and each router passes the news on
   * to a few that rank behind it, so that nobody tells all.
   */
  function sendNews(target: RateLimitedTarget, isFirstHand: boolean): void {
    const ranked = limits.listRankedRouters(target.life, clock.getNowMs());
    const place = ranked.indexOf(peers.self);
    const behind = place * TOLD_BY_EACH + 1;
    const told = place < 0 ? [] : ranked.slice(behind, behind + TOLD_BY_EACH);
    const first = isFirstHand && place !== 0 ? ranked.slice(0, 1) : [];
    for (const router of [...first, ...told]) startQuestion(target, router);
  }

  /** A question for nothing tells a limit, and learns what is known there. */
  function startQuestion(target: RateLimitedTarget, router: string): void {
    borrowFrom(target, router, 0).catch((error: unknown) => {
      const reason = String(error);
      log.logEvent(Events.LENDER_SILENT, { peer: router, target: target.life, reason });
    });
  }

  function listOthers(life: string): readonly string[] {
    const senders = limits.listSenders(life, clock.getNowMs());
    const others = senders.filter((sender) => sender !== peers.self);
    const start = Math.floor(nextRandom() * others.length);
    return [...others.slice(start), ...others.slice(0, start)];
  }

  function isAskDue(life: string): boolean {
    return clock.getNowMs() >= (askAgainMs.get(life) ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * Failure: a target names no limit any more, and the routers that do not send there get no answer of it that
   * tells them. They ask those that send there, while they have requests for it.
   */
  function updateLimit(target: RateLimitedTarget): void {
    const { life } = target;
    const isSender = limits.getWaitMs(life, clock.getNowMs()) !== undefined;
    if (isSender || !isAskDue(life)) return;
    askAgainMs.set(life, clock.getNowMs() + getIntervalMs());
    const [sender] = listOthers(life);
    if (sender !== undefined) startQuestion(target, sender);
  }

  async function borrowOne(target: ForwardingTarget): Promise<boolean> {
    const limited = buildLimited(target);
    const { life } = limited;
    if (!isAskDue(`${life} wanted`)) return false;
    for (const sender of listOthers(life).slice(0, MAX_LENDERS)) {
      if (await borrowFrom(limited, sender, 1)) return limits.isSendAllowed(life, clock.getNowMs());
    }
    askAgainMs.set(`${life} wanted`, clock.getNowMs() + REFUSED_MS);
    return false;
  }

  return {
    recordHead(target, head) {
      const perSecond = parseLimit(Checks.getHeader(head, headers.rateLimit));
      const known = perSecond === undefined ? { ageMs: 0 } : { perSecond, ageMs: 0 };
      recordLimit(buildLimited(target), known, true);
    },
    isOpen(target) {
      if (limits.countTargets() === 0) return true;
      const limited = buildLimited(target);
      const isOpen = limits.isSendAllowed(limited.life, clock.getNowMs());
      if (!isOpen) updateLimit(limited);
      return isOpen;
    },
    recordSend: (target) => limits.recordSend(TargetLives.formatLife(target), clock.getNowMs()),
    async borrowPermit(targets) {
      for (const target of targets) if (await borrowOne(target)) return true;
      return false;
    },
    getRetrySeconds(targets) {
      const waitsMs = targets
        .map((target) => limits.getWaitMs(TargetLives.formatLife(target), clock.getNowMs()))
        .filter((waitMs) => waitMs !== undefined);
      const { least, most, unknown } = RETRY_SECONDS;
      const seconds = waitsMs.length === 0 ? unknown : Math.min(...waitsMs) / MS_PER_SECOND;
      return Math.min(most, Math.max(least, seconds));
    },
    lendPermits({ life, zone, wanted, known }) {
      recordLimit({ life, zone }, known);
      const nowMs = clock.getNowMs();
      const permits = limits.grantPermits(life, wanted, nowMs);
      const found = limits.findLimit(life, nowMs);
      return found === undefined ? { permits } : { permits, known: found };
    },
    removeOld() {
      const nowMs = clock.getNowMs();
      limits.removeExpired(nowMs);
      for (const [key, atMs] of askAgainMs) if (atMs <= nowMs) askAgainMs.delete(key);
      news.removeOld((life) => limits.findLimit(life, nowMs) !== undefined);
    },
    dumpState: () => limits.listTargets().map(({ life }) => life),
  };
}
