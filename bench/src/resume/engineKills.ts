/** Kills real engine processes under running streams, again and again. */
import type { Fleet } from '@sequoiarill/testing';
import * as Testing from '@sequoiarill/testing';

import * as Streams from './streams';
import type { OpenStream, Recovery, StreamRun } from './streams';

export interface KillOptions {
  readonly kills: number;
  readonly streams: number;
  readonly maxTokens: number;
  /** Pieces that the first stream has before the kill: least and most. */
  readonly killAfter: readonly [number, number];
  readonly nextRandom: () => number;
}

export interface KillResult {
  readonly kills: number;
  readonly streamsHit: number;
  readonly resumesMs: readonly number[];
  readonly tokensMissing: number;
  readonly tokensRepeated: number;
  readonly tokensRecomputed: number;
  readonly tokensDelivered: number;
  readonly errors: readonly string[];
}

const POLL_MS = 2;
/** The journal rounds to whole milliseconds. */
const ROUNDING_MS = 1;

export async function runKills(fleet: Fleet, options: KillOptions): Promise<KillResult> {
  const prompts = Array.from({ length: options.streams }, (_unused, index) => `Order ${index}`);
  const calm = await runRound(fleet, prompts, options.maxTokens);
  const expected = new Map(calm.map((run) => [run.prompt, run.pieces]));
  const total = createTotal();
  for (let kill = 0; kill < options.kills; kill += 1) {
    const open = prompts.map((prompt) => Streams.startStream(fleet, prompt, options.maxTokens));
    const hit = await failEngine(fleet, open, options);
    const runs = await Promise.all(open.map(({ done }) => done));
    for (const run of runs) total.addRun(run, expected.get(run.prompt)!);
    await total.addHits(fleet, runs, hit);
    await fleet.startEngine(hit.engine);
  }
  return total.getResult(options.kills);
}

async function runRound(
  fleet: Fleet,
  prompts: readonly string[],
  maxTokens: number,
): Promise<readonly StreamRun[]> {
  return Promise.all(prompts.map((prompt) => Streams.startStream(fleet, prompt, maxTokens).done));
}

interface Hit {
  readonly engine: number;
  readonly killedMs: number;
  readonly requestIds: ReadonlySet<string>;
}

/** Waits until the first stream is far enough, then kills the engine under it. */
async function failEngine(
  fleet: Fleet,
  open: readonly OpenStream[],
  options: KillOptions,
): Promise<Hit> {
  const [least, most] = options.killAfter;
  const killAt = least + Math.floor(options.nextRandom() * (most - least));
  const requestIds = await Promise.all(open.map(({ requestId }) => requestId));
  while (open[0]!.countPieces() < killAt) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  const router = fleet.routers[0]!;
  const engines = await Promise.all(requestIds.map((id) => Testing.findEngine(router, id)));
  const engine = engines[0]!;
  const killedMs = performance.now();
  fleet.engines[engine]!.send('SIGKILL');
  const hit = requestIds.filter((_id, index) => engines[index] === engine);
  return { engine, killedMs, requestIds: new Set(hit) };
}

function createTotal() {
  const resumesMs: number[] = [];
  const errors: string[] = [];
  let tokensMissing = 0;
  let tokensRepeated = 0;
  let tokensDelivered = 0;
  let tokensRecomputed = 0;
  return {
    addRun(run: StreamRun, expected: readonly string[]): void {
      const faults = Streams.compareTexts(expected, run.pieces);
      tokensMissing += faults.missing;
      tokensRepeated += faults.repeated;
      tokensDelivered += run.completionTokens;
      if (run.error !== undefined) errors.push(run.error);
    },
    async addHits(fleet: Fleet, runs: readonly StreamRun[], hit: Hit): Promise<void> {
      for (const run of runs.filter(({ requestId }) => hit.requestIds.has(requestId))) {
        const recovery = await Streams.readRecovery(fleet.routers[0]!, run.requestId);
        const resumeMs = computeResume(run, recovery, hit.killedMs);
        if (resumeMs !== undefined) resumesMs.push(resumeMs);
        tokensRecomputed += recovery.tokensRecomputed;
      }
    },
    getResult: (kills: number): KillResult => ({
      kills,
      streamsHit: resumesMs.length,
      resumesMs,
      tokensMissing,
      tokensRepeated,
      tokensRecomputed,
      tokensDelivered,
      errors,
    }),
  };
}

/**
 * Milliseconds from the kill to the first piece of the next engine, as the caller sees it. The
 * router's journal tells when that piece left the engine; the caller's clock starts before the
 * router's, so the first piece that arrives after that time is it.
 */
function computeResume(run: StreamRun, recovery: Recovery, killedMs: number): number | undefined {
  if (recovery.continuedAtMs === undefined) return undefined;
  const continuedMs = run.startedMs + recovery.continuedAtMs - ROUNDING_MS;
  const resumedMs = run.arrivedMs.find((atMs) => atMs >= continuedMs && atMs > killedMs);
  return resumedMs === undefined ? undefined : resumedMs - killedMs;
}
