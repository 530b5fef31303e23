/** Simulates routers in front of brittle targets in virtual time. */
import * as Kernel from '@sequoiarill/kernel';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { AnswerHead, ForwardRequest } from '../../forwardRequest';
import * as Fakes from '../../__tests__/fakeDependencies';
import * as BrittleTargets from '../brittleTargets';

export interface BrittlePlay {
  readonly routers: number;
  /** Requests a second that a target may reject. */
  readonly tolerance: number;
  /** Requests a second from all callers. */
  readonly perSecond: number;
  /** Factor on the requests in the middle third of the play. */
  readonly burst: number;
  readonly policy: 'gated' | 'direct';
}

export interface BrittleResult {
  readonly answered: number;
  readonly refused: number;
  /** Requests that targets rejected after the time in which routers may learn. */
  readonly rejected: number;
  /** Most rejections of one target within one second, after that time. */
  readonly worstSecond: number;
  readonly falls: number;
}

const TARGETS = 3;
const SLOTS = 6;
const RUN_MS = 86;
const HOP_MS = 1;
const PLAY_MS = 15_000;
const LEARNING_MS = 3_000;
const DOWN_MS = 2_000;
const MS_PER_SECOND = 1_000;

interface SimulatedTarget {
  target: ForwardingTarget;
  inFlight: number;
  downUntilMs: number;
  rejectedAtMs: number[];
}

function createHead(status: number): AnswerHead {
  return { status, statusMessage: '', headers: { brittle: '1' } };
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

export async function simulateBrittle(play: BrittlePlay, seed = 7): Promise<BrittleResult> {
  const clock = Kernel.createFakeClock();
  const nextRandom = createRandom(seed);
  const counts = { answered: 0, refused: 0, rejected: 0, worstSecond: 0, falls: 0 };
  const targets: SimulatedTarget[] = Array.from({ length: TARGETS }, (_one, index) => ({
    target: Fakes.createTarget(`t${index}`, { service: 'orders', zone: `z${index}`, slots: SLOTS }),
    inFlight: 0,
    downUntilMs: 0,
    rejectedAtMs: [],
  }));
  const locations = Array.from({ length: play.routers }, (_one, index) => ({
    address: `r${index}`,
    relayAddress: `r${index}`,
    zone: `z${index % TARGETS}`,
  }));
  const routers = new Map<string, BrittleTargets.BrittleTargets>();
  locations.forEach(({ address }) => routers.set(address, createRouter(address)));

  function createRouter(address: string): BrittleTargets.BrittleTargets {
    return BrittleTargets.createBrittleTargets({
      clock,
      nextRandom,
      headers: Fakes.HEADER_NAMES,
      log: { logEvent: () => undefined },
      peers: {
        self: address,
        listRouters: () => locations,
        async reportBrittle(peer, report) {
          await clock.waitMs(HOP_MS);
          routers.get(peer)?.handleReport(report);
          return { kind: 'counted' };
        },
      },
      paths: { getState: () => 'open' },
      isAvoided: () => false,
    });
  }

  /** A target that has rejected too many falls over, and comes back as another incarnation. */
  function refuseRequest(simulated: SimulatedTarget): void {
    const nowMs = clock.getNowMs();
    simulated.rejectedAtMs = [
      ...simulated.rejectedAtMs.filter((atMs) => nowMs - atMs < MS_PER_SECOND),
      nowMs,
    ];
    if (nowMs < LEARNING_MS) return;
    counts.rejected += 1;
    counts.worstSecond = Math.max(counts.worstSecond, simulated.rejectedAtMs.length);
    if (simulated.rejectedAtMs.length <= play.tolerance) return;
    counts.falls += 1;
    simulated.downUntilMs = nowMs + DOWN_MS;
    simulated.rejectedAtMs = [];
    const { target } = simulated;
    simulated.target = { ...target, startedAtUnixMs: target.startedAtUnixMs + 1 };
  }

  async function send(
    router: BrittleTargets.BrittleTargets,
    simulated: SimulatedTarget,
  ): Promise<'answered' | 'rejected'> {
    await clock.waitMs(HOP_MS);
    if (simulated.inFlight >= SLOTS || clock.getNowMs() < simulated.downUntilMs) {
      if (clock.getNowMs() >= simulated.downUntilMs) refuseRequest(simulated);
      router.recordHead('orders', createHead(503));
      return 'rejected';
    }
    simulated.inFlight += 1;
    await clock.waitMs(RUN_MS * (0.5 + nextRandom()));
    simulated.inFlight -= 1;
    router.recordHead('orders', createHead(200));
    return 'answered';
  }

  async function sendGated(
    router: BrittleTargets.BrittleTargets,
    simulated: SimulatedTarget,
    request: ForwardRequest,
  ): Promise<'answered' | 'rejected' | 'refused'> {
    const result = await router.acquireSlot(request, simulated.target);
    if (result.kind === 'refused') return 'refused';
    const startedMs = clock.getNowMs();
    const outcome = await send(router, simulated);
    result.slot.release({
      ...(outcome === 'answered' ? { tookMs: clock.getNowMs() - startedMs } : {}),
      wasRejected: outcome === 'rejected',
    });
    return outcome;
  }

  async function runRequest(address: string): Promise<void> {
    const router = routers.get(address) as BrittleTargets.BrittleTargets;
    const startedMs = clock.getNowMs();
    const route = Fakes.createRoute({ objectiveMs: 386, timeoutMs: 4_000 });
    const request = { ...Fakes.createRequest(route), expiresAtMs: startedMs + route.timeoutMs };
    const known = targets.filter(({ downUntilMs }) => downUntilMs <= startedMs);
    const isGated = play.policy === 'gated' && router.isBrittle('orders');
    const choice = router.choose(
      request,
      known.map(({ target }) => target),
    );
    const simulated = targets.find(({ target }) => target === choice?.target);
    if (choice === undefined || simulated === undefined) {
      counts.refused += 1;
      return;
    }
    let outcome: 'answered' | 'rejected' | 'refused';
    if (!isGated) outcome = await send(router, simulated);
    else {
      if (choice.router !== undefined) await clock.waitMs(HOP_MS);
      const sender = choice.router === undefined ? router : routers.get(choice.router.address);
      outcome = sender === undefined ? 'refused' : await sendGated(sender, simulated, request);
    }
    if (outcome === 'answered') counts.answered += 1;
    else counts.refused += 1;
  }

  async function runCallers(): Promise<void> {
    while (clock.getNowMs() < PLAY_MS) {
      const third = Math.floor((clock.getNowMs() * 3) / PLAY_MS);
      const perSecond = play.perSecond * (third === 1 ? play.burst : 1);
      await clock.waitMs((-Math.log(1 - nextRandom()) * MS_PER_SECOND) / perSecond);
      const address = `r${Math.floor(nextRandom() * play.routers)}`;
      runRequest(address).catch(() => undefined);
    }
  }

  const running = runCallers();
  await clock.runFor(PLAY_MS + 5_000);
  await running;
  return counts;
}
