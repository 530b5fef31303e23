/**
 * Reads streams during a fault, compares their texts with undisturbed ones, and reads how they were
 * continued.
 */
import type { Fleet, FleetRouter } from '@sequoiarill/testing';
import * as Testing from '@sequoiarill/testing';

export interface StreamRun {
  readonly prompt: string;
  readonly pieces: readonly string[];
  /** Time at which the request was sent, on this process's monotonic clock. */
  readonly startedMs: number;
  /** Arrival time of each piece, on the same clock. */
  readonly arrivedMs: readonly number[];
  readonly requestId: string;
  readonly completionTokens: number;
  readonly error: string | undefined;
}

export interface OpenStream {
  /** Resolves with the request's id when the first piece has arrived. */
  readonly requestId: Promise<string>;
  readonly done: Promise<StreamRun>;
  readonly countPieces: () => number;
}

export function startStream(fleet: Fleet, prompt: string, maxTokens: number): OpenStream {
  const router = fleet.routers[0]!;
  const startedMs = performance.now();
  const pieces: string[] = [];
  const arrivedMs: number[] = [];
  let resolveId: (id: string) => void = () => undefined;
  const requestId = new Promise<string>((resolve) => {
    resolveId = resolve;
  });
  const answer = Testing.readAnswer({
    url: router.callers,
    apiKey: fleet.apiKey,
    prompt,
    maxTokens,
    onText(text, _count, id) {
      pieces.push(text);
      arrivedMs.push(performance.now());
      resolveId(id);
    },
  });
  const done = answer.then((answered) => ({
    prompt,
    startedMs,
    pieces,
    arrivedMs,
    requestId: answered.requestId ?? '',
    completionTokens: answered.completionTokens ?? 0,
    error: answered.error,
  }));
  return { requestId, done, countPieces: () => pieces.length };
}

export interface Recovery {
  /** Time of the first token from the next engine, in milliseconds from the start of the request. */
  readonly continuedAtMs: number | undefined;
  /** Prompt and output tokens that were sent to further engines. */
  readonly tokensRecomputed: number;
}

export async function readRecovery(router: FleetRouter, requestId: string): Promise<Recovery> {
  const entries = await Testing.readJournal(router, requestId);
  const redispatches = entries.filter(({ kind }) => kind === 'dispatched').slice(1);
  return {
    continuedAtMs: entries.find(({ kind }) => kind === 'continued')?.elapsedMs,
    tokensRecomputed: redispatches.reduce(
      (sum, { details }) => sum + (details.tokensGiven ?? 0),
      0,
    ),
  };
}

export interface TextDifferences {
  readonly missing: number;
  readonly repeated: number;
}

/** Counts the pieces that are missing or repeated in the disturbed answer. */
export function compareTexts(
  expected: readonly string[],
  actual: readonly string[],
): TextDifferences {
  if (expected.join('') === actual.join('')) return { missing: 0, repeated: 0 };
  let matched = 0;
  while (matched < expected.length && expected[matched] === actual[matched]) matched += 1;
  const missing = Math.max(0, expected.length - actual.length);
  const repeated = Math.max(0, actual.length - expected.length);
  // Same length but different text: all pieces after the first difference count as missing and as
  // repeated.
  if (missing + repeated > 0) return { missing, repeated };
  return { missing: expected.length - matched, repeated: actual.length - matched };
}
