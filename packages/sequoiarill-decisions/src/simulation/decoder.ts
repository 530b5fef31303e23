/**
 * The decoding streams of one engine. All get their tokens at one pace, which slows with their number,
 * so one count of tokens tells when each stream ends without playing every token.
 */
import * as Heap from '../heap';
import type { Timeline } from './timeline';

export interface DecoderOptions {
  readonly slots: number;
  /** Between tokens with one stream, milliseconds. */
  readonly gapMs: number;
  /** Part that a full engine adds to the gap. */
  readonly busyShare: number;
  readonly timeline: Timeline;
}

export interface DecodingStream {
  readonly getGenerated: () => number;
  /** Ends it early; answers what was generated. */
  readonly cancelStream: () => number;
}

export interface Decoder {
  readonly addStream: (tokens: number, onEnd: (meanGapMs: number) => void) => DecodingStream;
  readonly setSlowness: (factor: number) => void;
  readonly getGapMs: () => number;
}

interface Entry {
  readonly startClock: number;
  readonly endClock: number;
  readonly startedMs: number;
  readonly tokens: number;
  readonly onEnd: (meanGapMs: number) => void;
}

export function createDecoder(options: DecoderOptions): Decoder {
  const { timeline } = options;
  const queue = Heap.createHeap<Entry>((entry) => entry.endClock);
  const live = new Set<Entry>();
  let clock = 0;
  let clockAtMs = 0;
  let epoch = 0;
  let slowness = 1;

  function getGapMs(): number {
    return options.gapMs * (1 + (options.busyShare * live.size) / options.slots) * slowness;
  }

  function updateClock(): void {
    const nowMs = timeline.getNowMs();
    clock += (nowMs - clockAtMs) / getGapMs();
    clockAtMs = nowMs;
  }

  /** The next stream that ends, at the present pace; a change of pace voids the event. */
  function addEndEvent(): void {
    epoch += 1;
    const ownEpoch = epoch;
    let next = queue.getFirst();
    while (next !== undefined && !live.has(next)) {
      queue.takeFirst();
      next = queue.getFirst();
    }
    if (next === undefined) return;
    const leftTokens = Math.max(0, next.endClock - clock);
    timeline.addEvent(timeline.getNowMs() + leftTokens * getGapMs(), () => {
      if (ownEpoch === epoch) handleEnd();
    });
  }

  function handleEnd(): void {
    updateClock();
    const ended = queue.takeFirst();
    if (ended === undefined) return;
    live.delete(ended);
    addEndEvent();
    ended.onEnd((timeline.getNowMs() - ended.startedMs) / Math.max(1, ended.tokens));
  }

  function addStream(tokens: number, onEnd: (meanGapMs: number) => void): DecodingStream {
    updateClock();
    const startedMs = timeline.getNowMs();
    const entry = { startClock: clock, endClock: clock + tokens, startedMs, tokens, onEnd };
    live.add(entry);
    queue.addValue(entry);
    addEndEvent();
    const getGenerated = () => {
      updateClock();
      return clock - entry.startClock;
    };
    const cancelStream = () => {
      const generated = getGenerated();
      live.delete(entry);
      addEndEvent();
      return generated;
    };
    return { getGenerated, cancelStream };
  }

  function setSlowness(factor: number): void {
    updateClock();
    slowness = factor;
    addEndEvent();
  }

  return { addStream, setSlowness, getGapMs };
}
