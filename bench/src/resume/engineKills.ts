/** Repeatedly kills engine processes while streams run on them. */
import type { Fleet } from '@sequoiarill/testing';
import * as Testing from '@sequoiarill/testing';

import * as Streams from './streams';
import type { OpenStream, Recovery, StreamRun } from './streams';

export interface KillOptions {
  readonly kills: number;
  readonly streams: number;
  readonly maxTokens: number;
  /** Least and greatest number of pieces that the first stream has received before the kill. */
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
/** The decision journal rounds times to whole milliseconds. */
const ROUNDING_MS = 1;

export async function runKills(fleet: Fleet, options: KillOptions): Promise<KillResult> {
  const prompts = Array.from({ length: options.streams }, (_unused, index) => `Order ${index}`);
  const undisturbed = await runRound(fleet, prompts, options.maxTokens);
  const expected = new Map(undisturbed.map((run) => [run.prompt, run.pieces]));
  const total = createTotal();
  for (let kill = 0; kill < options.kills; kill += 1) {
    const open = prompts.map((prompt) => Streams.startStream(fleet, prompt, options.maxTokens));
    const engineKill = await failEngine(fleet, open, options);
    const runs = await Promise.all(open.map(({ done }) => done));
    for (const run of runs) total.addRun(run, expected.get(run.prompt)!);
    await total.addRecoveries(fleet, runs, engineKill);
    await fleet.startEngine(engineKill.engine);
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

interface EngineKill {
  readonly engine: number;
  readonly killedMs: number;
  readonly requestIds: ReadonlySet<string>;
}

/** Waits until the first stream has received enough pieces, then kills its engine. */
async function failEngine(
  fleet: Fleet,
  open: readonly OpenStream[],
  options: KillOptions,
): Promise<EngineKill> {
  const [min, max] = options.killAfter;
  const killAt = min + Math.floor(options.nextRandom() * (max - min));
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
  const affectedIds = requestIds.filter((_id, index) => engines[index] === engine);
  return { engine, killedMs, requestIds: new Set(affectedIds) };
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
      const differences = Streams.compareTexts(expected, run.pieces);
      tokensMissing += differences.missing;
      tokensRepeated += differences.repeated;
      tokensDelivered += run.completionTokens;
      if (run.error !== undefined) errors.push(run.error);
    },
    async addRecoveries(
      fleet: Fleet,
      runs: readonly StreamRun[],
      engineKill: EngineKill,
    ): Promise<void> {
      for (const run of runs.filter(({ requestId }) => engineKill.requestIds.has(requestId))) {
        const recovery = await Streams.readRecovery(fleet.routers[0]!, run.requestId);
        const resumeMs = computeResume(run, recovery, engineKill.killedMs);
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
 * Computes the milliseconds from the kill to the arrival of the next engine's first piece at the
 * caller. The router's journal gives the time at which that piece came from the engine. The caller's
 * clock for the request starts earlier than the router's, so the piece is the first one that arrives
 * after that time.
 */
function computeResume(run: StreamRun, recovery: Recovery, killedMs: number): number | undefined {
  if (recovery.continuedAtMs === undefined) return undefined;
  const continuedMs = run.startedMs + recovery.continuedAtMs - ROUNDING_MS;
  const resumedMs = run.arrivedMs.find((atMs) => atMs >= continuedMs && atMs > killedMs);
  return resumedMs === undefined ? undefined : resumedMs - killedMs;
}
