/** Routers in virtual time that send to one target with a limit, over links that can be cut. */
import type { CountSenders } from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import type { GrantedPermits, RouterLocation, PermitsRequest } from '@sequoiarill/types';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as TargetLimits from '../targetLimits';
import type { TargetLimits as Limits } from '../targetLimits';

/** Time of a call between routers, and of an answer of the target, milliseconds. */
const CALL_MS = 2;
const ANSWER_MS = 80;
const STEP_MS = 20;
const ZONES = 3;
const MS_PER_SECOND = 1_000;
const HEADERS = { rateLimit: 'limit' };

export interface LimitPlayOptions {
  readonly routers: number;
  /** Requests a second of all routers that nothing else serves. */
  readonly perSecond: number;
  /** Part of the requests that come to the first router; the rest are spread evenly. */
  readonly firstShare?: number;
  readonly countSenders?: CountSenders;
  /** Whether routers ask each other. */
  readonly hasLoans?: boolean;
}

export interface LimitPlay {
  /** Requests a second that the target names from now on; undefined: none. */
  readonly setLimit: (perSecond: number | undefined) => void;
  /** The zone's routers reach the target, and no router of another zone. */
  readonly cutZone: (zone: number | undefined) => void;
  readonly runFor: (ms: number) => Promise<void>;
  /** Arrivals at the target from then until now. */
  readonly countArrivals: (sinceMs: number) => number;
  /** Most arrivals in a span of so many milliseconds from then on. */
  readonly countMost: (spanMs: number, sinceMs: number) => number;
  /** Routers that would send at once. */
  readonly countOpen: () => number;
  readonly getNowMs: () => number;
}

interface PlayedRouter extends RouterLocation {
  readonly limits: Limits;
}

export function createLimitPlay(options: LimitPlayOptions): LimitPlay {
  const { routers: count, perSecond, firstShare = 1 / count, hasLoans = true } = options;
  const clock = Kernel.createFakeClock();
  const target = Fakes.createTarget('t1', { zone: '1' });
  const routers: PlayedRouter[] = [];
  const lenders = new Map<string, (question: PermitsRequest) => GrantedPermits>();
  const arrivalsMs: number[] = [];
  let limit: number | undefined;
  let cutOff: string | undefined;
  let drawn = 0;
  const nextRandom = () => {
    drawn = (drawn + 0.382) % 1;
    return drawn;
  };

  function isCut(from: string, to: string): boolean {
    return (findZone(from) === cutOff) !== (findZone(to) === cutOff);
  }

  function findZone(address: string): string {
    return String(Number(address.split(':')[1]) % ZONES);
  }

  function addRouter(index: number): void {
    const address = `10.0.0.1:${index}`;
    const limits = TargetLimits.createTargetLimits({
      clock,
      nextRandom,
      headers: HEADERS,
      log: { logEvent: () => undefined },
      peers: {
        self: address,
        listRouters: () => routers,
        async borrowPermits(peer, question) {
          await clock.waitMs(CALL_MS);
          const lend = lenders.get(peer);
          if (!hasLoans || lend === undefined || isCut(address, peer)) {
            return { kind: 'failed', reason: 'cut off' };
          }
          return { kind: 'lent', lent: lend(question) };
        },
      },
      ...(options.countSenders === undefined ? {} : { countSenders: options.countSenders }),
    });
    lenders.set(address, limits.lendPermits);
    routers.push({ address, zone: findZone(address), limits });
  }

  async function sendRequest({ limits }: PlayedRouter): Promise<void> {
    if (!limits.isAvailable(target) && !(await limits.acquirePermit([target]))) return;
    limits.recordSend(target);
    arrivalsMs.push(clock.getNowMs());
    await clock.waitMs(ANSWER_MS);
    const headers = limit === undefined ? {} : { [HEADERS.rateLimit]: String(limit) };
    limits.recordHead(target, { status: 200, statusMessage: '', headers });
  }

  function pickRouter(): PlayedRouter | undefined {
    if (nextRandom() < firstShare) return routers[0];
    return routers[1 + Math.floor(nextRandom() * (count - 1))];
  }

  async function playCallers(untilMs: number): Promise<void> {
    let due = 0;
    while (clock.getNowMs() < untilMs) {
      due += (perSecond * STEP_MS) / MS_PER_SECOND;
      for (; due >= 1; due -= 1) {
        const router = pickRouter();
        if (router !== undefined) sendRequest(router).catch(() => undefined);
      }
      await clock.waitMs(STEP_MS);
    }
  }

  function countFrom(fromMs: number, untilMs: number): number {
    return arrivalsMs.filter((atMs) => atMs >= fromMs && atMs < untilMs).length;
  }

  for (let index = 0; index < count; index += 1) addRouter(index);
  return {
    setLimit(next) {
      limit = next;
    },
    cutZone(zone) {
      cutOff = zone === undefined ? undefined : String(zone);
    },
    async runFor(ms) {
      const played = playCallers(clock.getNowMs() + ms);
      await clock.runFor(ms);
      await played;
    },
    countArrivals: (sinceMs) => countFrom(sinceMs, Number.POSITIVE_INFINITY),
    countMost: (spanMs, sinceMs) =>
      arrivalsMs
        .filter((atMs) => atMs >= sinceMs)
        .reduce((most, atMs) => Math.max(most, countFrom(atMs, atMs + spanMs)), 0),
    countOpen: () => routers.filter(({ limits }) => limits.isAvailable(target)).length,
    getNowMs: clock.getNowMs,
  };
}
