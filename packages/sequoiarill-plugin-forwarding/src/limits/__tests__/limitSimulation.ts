/** Simulates, in virtual time, routers that send to one rate-limited target over a partitionable network. */
import type { CountSenders } from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import type { GrantedPermits, RouterLocation, PermitsRequest } from '@sequoiarill/types';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as TargetLimits from '../targetLimits';
import type { TargetLimits as Limits } from '../targetLimits';

/** Duration of a call between routers, and of an answer of the target. */
const CALL_MS = 2;
const ANSWER_MS = 80;
const ARRIVAL_STEP_MS = 20;
const ZONES = 3;
const MS_PER_SECOND = 1_000;
const HEADERS = { rateLimit: 'limit' };

export interface LimitSimulationOptions {
  readonly routers: number;
  /** Requests per second over all routers, which only the target can serve. */
  readonly perSecond: number;
  /** Share of the requests that arrive at the first router; the rest is spread evenly. */
  readonly firstShare?: number;
  readonly countSenders?: CountSenders;
  /** Whether routers can request permits from each other. */
  readonly canAcquirePermits?: boolean;
}

export interface LimitSimulation {
  /** Sets the limit, in requests per second, that the target announces; undefined: none. */
  readonly setLimit: (perSecond: number | undefined) => void;
  /** Isolates a zone: its routers reach the target but no router of another zone; undefined: none. */
  readonly isolateZone: (zone: number | undefined) => void;
  readonly runFor: (ms: number) => Promise<void>;
  /** Arrivals at the target since the given time. */
  readonly countArrivals: (sinceMs: number) => number;
  /** Maximum number of arrivals in any span of the given length since the given time. */
  readonly countMaxArrivals: (spanMs: number, sinceMs: number) => number;
  /** Routers that may send a request now. */
  readonly countAvailable: () => number;
  readonly getNowMs: () => number;
}

interface SimulatedRouter extends RouterLocation {
  readonly limits: Limits;
}

export function createLimitSimulation(options: LimitSimulationOptions): LimitSimulation {
  const { routers: count, perSecond, firstShare = 1 / count, canAcquirePermits = true } = options;
  const clock = Kernel.createFakeClock();
  const target = Fakes.createTarget('t1', { zone: '1' });
  const routers: SimulatedRouter[] = [];
  const permitGrantors = new Map<string, (request: PermitsRequest) => GrantedPermits>();
  const arrivalsMs: number[] = [];
  let limit: number | undefined;
  let isolatedZone: string | undefined;
  let lastRandom = 0;
  const nextRandom = () => {
    lastRandom = (lastRandom + 0.382) % 1;
    return lastRandom;
  };

  function isDisconnected(from: string, to: string): boolean {
    return (findZone(from) === isolatedZone) !== (findZone(to) === isolatedZone);
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
        async borrowPermits(peer, request) {
          await clock.waitMs(CALL_MS);
          const grantPermits = permitGrantors.get(peer);
          if (!canAcquirePermits || grantPermits === undefined || isDisconnected(address, peer)) {
            return { kind: 'failed', reason: 'unreachable' };
          }
          return { kind: 'granted', granted: grantPermits(request) };
        },
      },
      ...(options.countSenders === undefined ? {} : { countSenders: options.countSenders }),
    });
    permitGrantors.set(address, limits.grantPermits);
    routers.push({ address, zone: findZone(address), limits });
  }

  async function sendRequest({ limits }: SimulatedRouter): Promise<void> {
    if (!limits.isAvailable(target) && !(await limits.acquirePermit([target]))) return;
    limits.recordSend(target);
    arrivalsMs.push(clock.getNowMs());
    await clock.waitMs(ANSWER_MS);
    const headers = limit === undefined ? {} : { [HEADERS.rateLimit]: String(limit) };
    limits.recordHead(target, { status: 200, statusMessage: '', headers });
  }

  function pickRouter(): SimulatedRouter | undefined {
    if (nextRandom() < firstShare) return routers[0];
    return routers[1 + Math.floor(nextRandom() * (count - 1))];
  }

  async function simulateCallers(untilMs: number): Promise<void> {
    let due = 0;
    while (clock.getNowMs() < untilMs) {
      due += (perSecond * ARRIVAL_STEP_MS) / MS_PER_SECOND;
      for (; due >= 1; due -= 1) {
        const router = pickRouter();
        if (router !== undefined) sendRequest(router).catch(() => undefined);
      }
      await clock.waitMs(ARRIVAL_STEP_MS);
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
    isolateZone(zone) {
      isolatedZone = zone === undefined ? undefined : String(zone);
    },
    async runFor(ms) {
      const callers = simulateCallers(clock.getNowMs() + ms);
      await clock.runFor(ms);
      await callers;
    },
    countArrivals: (sinceMs) => countFrom(sinceMs, Number.POSITIVE_INFINITY),
    countMaxArrivals: (spanMs, sinceMs) =>
      arrivalsMs
        .filter((atMs) => atMs >= sinceMs)
        .reduce((most, atMs) => Math.max(most, countFrom(atMs, atMs + spanMs)), 0),
    countAvailable: () => routers.filter(({ limits }) => limits.isAvailable(target)).length,
    getNowMs: clock.getNowMs,
  };
}
