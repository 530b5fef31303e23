/**
 * Decoding streams of one engine. All streams receive tokens at the same rate, which falls as streams are
 * added. A single running token count therefore gives the end of each stream, without an event per token.
 */
import * as Heap from '../heap';
import type { Timeline } from './timeline';

export interface DecoderOptions {
  readonly slots: number;
  /** Time between tokens when the engine runs a single stream, milliseconds. */
  readonly gapMs: number;
  /** Fraction by which `gapMs` grows when all slots are in use. */
  readonly fullLoadGapIncrease: number;
  readonly timeline: Timeline;
}

export interface DecodingStream {
  readonly countGeneratedTokens: () => number;
  /** Ends the stream early; returns the number of tokens generated until then. */
  readonly cancelStream: () => number;
}

export interface Decoder {
  readonly startStream: (tokens: number, onEnd: (meanGapMs: number) => void) => DecodingStream;
  readonly setSlowdown: (factor: number) => void;
  readonly getGapMs: () => number;
}

interface ActiveStream {
  readonly startTokens: number;
  readonly endTokens: number;
  readonly startedMs: number;
  readonly tokens: number;
  readonly onEnd: (meanGapMs: number) => void;
}

export function createDecoder(options: DecoderOptions): Decoder {
  const { timeline } = options;
  const queue = Heap.createHeap<ActiveStream>((stream) => stream.endTokens);
  const decoding = new Set<ActiveStream>();
  let tokensPerStream = 0;
  let updatedAtMs = 0;
  let eventRevision = 0;
  let slowdown = 1;

  function getGapMs(): number {
    return (
      options.gapMs * (1 + (options.fullLoadGapIncrease * decoding.size) / options.slots) * slowdown
    );
  }

  function updateTokens(): void {
    const nowMs = timeline.getNowMs();
    tokensPerStream += (nowMs - updatedAtMs) / getGapMs();
    updatedAtMs = nowMs;
  }

  /** Schedules the end of the stream that ends next at the current rate; a later call replaces the event. */
  function addEndEvent(): void {
    eventRevision += 1;
    const ownRevision = eventRevision;
    let nextStream = queue.getFirst();
    while (nextStream !== undefined && !decoding.has(nextStream)) {
      queue.takeFirst();
      nextStream = queue.getFirst();
    }
    if (nextStream === undefined) return;
    const remainingTokens = Math.max(0, nextStream.endTokens - tokensPerStream);
    timeline.addEvent(timeline.getNowMs() + remainingTokens * getGapMs(), () => {
      if (ownRevision === eventRevision) handleEnd();
    });
  }

  function handleEnd(): void {
    updateTokens();
    const endedStream = queue.takeFirst();
    if (endedStream === undefined) return;
    decoding.delete(endedStream);
    addEndEvent();
    endedStream.onEnd(
      (timeline.getNowMs() - endedStream.startedMs) / Math.max(1, endedStream.tokens),
    );
  }

  function startStream(tokens: number, onEnd: (meanGapMs: number) => void): DecodingStream {
    updateTokens();
    const startedMs = timeline.getNowMs();
    const stream = {
      startTokens: tokensPerStream,
      endTokens: tokensPerStream + tokens,
      startedMs,
      tokens,
      onEnd,
    };
    decoding.add(stream);
    queue.addValue(stream);
    addEndEvent();
    const countGeneratedTokens = () => {
      updateTokens();
      return tokensPerStream - stream.startTokens;
    };
    const cancelStream = () => {
      const generatedTokens = countGeneratedTokens();
      decoding.delete(stream);
      addEndEvent();
      return generatedTokens;
    };
    return { countGeneratedTokens, cancelStream };
  }

  function setSlowdown(factor: number): void {
    updateTokens();
    slowdown = factor;
    addEndEvent();
  }

  return { startStream, setSlowdown, getGapMs };
}
