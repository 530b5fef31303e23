/**
 * Queueing model of one engine: a fixed number of slots, sequential prefill, decoding that slows down as
 * streams are added, and a prefix cache with least-recently-used eviction.
 */
import * as Decoders from './decoder';
import type { DecodingStream } from './decoder';
import type { Timeline } from './timeline';

export interface EngineSettings {
  readonly name: string;
  readonly zone: string;
  readonly slots: number;
  readonly prefillTokensPerMs: number;
  /** Time between tokens when the engine runs a single stream, milliseconds. */
  readonly gapMs: number;
  /** Fraction by which `gapMs` grows when all slots are in use. */
  readonly fullLoadGapIncrease: number;
  /** Capacity of the prefix cache. */
  readonly cachedPrefixes: number;
}

export interface StreamWork {
  readonly promptTokens: number;
  /** Tokens of the prompt that a cached prefix saves. */
  readonly sharedTokens: number;
  readonly prefixKey: string;
  readonly outputTokens: number;
  /** Queued ahead of new prompts: engines honour priorities. */
  readonly isContinuation: boolean;
  readonly onFirstToken: () => void;
  readonly onEnd: (meanGapMs: number) => void;
  /** The engine died or refused the stream; gets the number of tokens generated until then. */
  readonly onLost: (generatedTokens: number) => void;
}

export interface EngineReport {
  readonly running: number;
  readonly waiting: number;
  readonly atMs: number;
}

export interface EngineModel {
  readonly settings: EngineSettings;
  /** Returns a function that cancels the stream and returns the number of tokens generated in vain. */
  readonly startStream: (work: StreamWork) => () => number;
  readonly getReport: () => EngineReport;
  /** Neither dead nor failing. */
  readonly isUsable: () => boolean;
  readonly setSlowdown: (factor: number) => void;
  readonly setFailing: (isFailing: boolean) => void;
  readonly setDead: (isDead: boolean) => void;
  /** Current time between the tokens of each running stream, milliseconds. */
  readonly getGapMs: () => number;
}

interface Stream {
  readonly work: StreamWork;
  decoding: DecodingStream | undefined;
}

const REFUSAL_DELAY_MS = 1;

export function createEngineModel(settings: EngineSettings, timeline: Timeline): EngineModel {
  const decoder = Decoders.createDecoder({ ...settings, timeline });
  const recordPrefixUse = createPrefixCache(settings.cachedPrefixes);
  let waiting: Stream[] = [];
  let running = new Set<Stream>();
  let slowdown = 1;
  let isFailing = false;
  let isDead = false;
  let prefillFreeAtMs = 0;

  function handlePrefilled(stream: Stream): void {
    if (!running.has(stream)) return;
    const decoding = decoder.startStream(stream.work.outputTokens, (meanGapMs) => {
      running.delete(stream);
      startWaiting();
      stream.work.onEnd(meanGapMs);
    });
    Object.assign(stream, { decoding });
    stream.work.onFirstToken();
  }

  function startPrefill(stream: Stream): void {
    const { prefixKey, promptTokens, sharedTokens } = stream.work;
    const uncached = recordPrefixUse(prefixKey) ? promptTokens - sharedTokens : promptTokens;
    const tookMs = (uncached / settings.prefillTokensPerMs) * slowdown;
    prefillFreeAtMs = Math.max(timeline.getNowMs(), prefillFreeAtMs) + tookMs;
    running.add(stream);
    timeline.addEvent(prefillFreeAtMs + decoder.getGapMs(), () => handlePrefilled(stream));
  }

  function startWaiting(): void {
    while (waiting.length > 0 && running.size < settings.slots) {
      const nextStream = waiting.shift();
      if (nextStream !== undefined) startPrefill(nextStream);
    }
  }

  function cancelStream(stream: Stream): number {
    waiting = waiting.filter((other) => other !== stream);
    if (!running.delete(stream)) return 0;
    const generated = stream.decoding?.cancelStream() ?? 0;
    startWaiting();
    return generated;
  }

  function startStream(work: StreamWork): () => number {
    if (isDead || isFailing) {
      timeline.addEvent(timeline.getNowMs() + REFUSAL_DELAY_MS, () => work.onLost(0));
      return () => 0;
    }
    const stream: Stream = { work, decoding: undefined };
    const isAhead = (other: Stream) => other.work.isContinuation || !work.isContinuation;
    const index = waiting.findLastIndex(isAhead) + 1;
    waiting.splice(index, 0, stream);
    startWaiting();
    return () => cancelStream(stream);
  }

  function failAll(): void {
    const lost = [...running, ...waiting];
    waiting = [];
    running = new Set();
    for (const stream of lost) {
      const generated = stream.decoding?.cancelStream() ?? 0;
      stream.work.onLost(Math.floor(generated));
    }
  }

  return {
    settings,
    startStream,
    getReport: () => ({
      running: running.size,
      waiting: waiting.length,
      atMs: timeline.getNowMs(),
    }),
    isUsable: () => !isDead && !isFailing,
    setSlowdown: (factor) => {
      slowdown = factor;
      decoder.setSlowdown(factor);
    },
    setFailing: (failing) => {
      isFailing = failing;
    },
    setDead: (dead) => {
      const wasDead = isDead;
      isDead = dead;
      prefillFreeAtMs = timeline.getNowMs();
      if (dead && !wasDead) failAll();
    },
    getGapMs: decoder.getGapMs,
  };
}

/**
 * Returns a function that reports whether a prefix was cached and marks it as the most recently used one.
 * A full cache evicts the least recently used prefix.
 */
function createPrefixCache(size: number): (prefixKey: string) => boolean {
  const keys = new Set<string>();
  return (prefixKey) => {
    const wasCached = keys.delete(prefixKey);
    keys.add(prefixKey);
    const oldest = keys.values().next();
    if (keys.size > size && !oldest.done) keys.delete(oldest.value);
    return wasCached;
  };
}
