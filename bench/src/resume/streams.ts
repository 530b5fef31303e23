/** Streams that a fault hits: their texts against undisturbed ones, and how long they stood still. */
import type { Fleet, FleetRouter } from '@sequoiarill/testing';
import * as Testing from '@sequoiarill/testing';

export interface StreamRun {
  readonly prompt: string;
  readonly pieces: readonly string[];
  /** When the request was sent, on the monotonic clock of this process. */
  readonly startedMs: number;
  /** On the same clock, one for each piece. */
  readonly arrivedMs: readonly number[];
  readonly requestId: string;
  readonly completionTokens: number;
  readonly error: string | undefined;
}

export interface OpenStream {
  /** The request's id, once the first piece has arrived. */
  readonly requestId: Promise<string>;
  readonly done: Promise<StreamRun>;
  readonly countPieces: () => number;
}

export function startStream(fleet: Fleet, prompt: string, maxTokens: number): OpenStream {
  const router = fleet.routers[0]!;
  const startedMs = performance.now();
  const pieces: string[] = [];
  const arrivedMs: number[] = [];
  let tellId: (id: string) => void = () => undefined;
  const requestId = new Promise<string>((resolve) => {
    tellId = resolve;
  });
  const answer = Testing.readAnswer({
    url: router.callers,
    apiKey: fleet.apiKey,
    prompt,
    maxTokens,
    onText(text, _count, id) {
      pieces.push(text);
      arrivedMs.push(performance.now());
      tellId(id);
    },
  });
  const done = answer.then((whole) => ({
    prompt,
    startedMs,
    pieces,
    arrivedMs,
    requestId: whole.requestId ?? '',
    completionTokens: whole.completionTokens ?? 0,
    error: whole.error,
  }));
  return { requestId, done, countPieces: () => pieces.length };
}

export interface Recovery {
  /** When the next token came from another engine, in milliseconds from the start of the request. */
  readonly continuedAtMs: number | undefined;
  /** Prompt and output tokens that engines were given again. */
  readonly tokensRecomputed: number;
}

export async function readRecovery(router: FleetRouter, requestId: string): Promise<Recovery> {
  const entries = await Testing.readJournal(router, requestId);
  const again = entries.filter(({ kind }) => kind === 'dispatched').slice(1);
  return {
    continuedAtMs: entries.find(({ kind }) => kind === 'continued')?.elapsedMs,
    tokensRecomputed: again.reduce((sum, { details }) => sum + (details.tokensGiven ?? 0), 0),
  };
}

export interface TextFaults {
  readonly missing: number;
  readonly repeated: number;
}

/** Pieces that the disturbed answer lacks or has too often, against the undisturbed one. */
export function compareTexts(expected: readonly string[], actual: readonly string[]): TextFaults {
  if (expected.join('') === actual.join('')) return { missing: 0, repeated: 0 };
  let same = 0;
  while (same < expected.length && expected[same] === actual[same]) same += 1;
  const missing = Math.max(0, expected.length - actual.length);
  const repeated = Math.max(0, actual.length - expected.length);
  // Of equal length and yet different: everything after the first difference is wrong twice over.
  if (missing + repeated > 0) return { missing, repeated };
  return { missing: expected.length - same, repeated: actual.length - same };
}
