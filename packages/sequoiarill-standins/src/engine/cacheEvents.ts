/**
 * Events that an engine publishes about its prefix cache, with a configured delay and configured
 * gaps.
 */
import * as PrefixCaches from './prefixCache';

/** Events retained for later readers; the oldest are discarded first. */
const MAX_EVENTS = 10_000;

export interface CacheEvent {
  /** Increases by one for each event, so that a reader detects gaps by missing numbers. */
  readonly sequence: number;
  readonly type: 'BlockStored' | 'BlockRemoved' | 'AllBlocksCleared';
  readonly model?: string;
  readonly block_hashes?: readonly string[];
  readonly parent_block_hash?: string | null;
  readonly token_ids?: readonly number[];
  readonly block_size?: number;
}

type CacheEventBody = Omit<CacheEvent, 'sequence'>;

export interface CacheEventLog extends PrefixCaches.CacheListener {
  readonly recordCleared: () => void;
  readonly listEventsAfter: (sequence: number) => readonly CacheEvent[];
}

interface TimedEvent {
  readonly event: CacheEvent;
  readonly atMs: number;
}

export function createCacheEventLog(delayMs: number, gapEvery: number): CacheEventLog {
  const events: TimedEvent[] = [];
  let lastSequence = 0;

  function addEvent(body: CacheEventBody): void {
    lastSequence += 1;
    if (gapEvery > 0 && lastSequence % gapEvery === 0) return;
    events.push({ event: { sequence: lastSequence, ...body }, atMs: performance.now() });
    if (events.length > MAX_EVENTS) events.shift();
  }

  return {
    onStored(model, blocks) {
      addEvent({
        type: 'BlockStored',
        model,
        block_hashes: blocks.map((block) => block.hash),
        parent_block_hash: blocks[0]?.parentHash ?? null,
        token_ids: blocks.flatMap((block) => block.tokenIds),
        block_size: PrefixCaches.BLOCK_TOKENS,
      });
    },
    onRemoved: (model, hashes) => addEvent({ type: 'BlockRemoved', model, block_hashes: hashes }),
    recordCleared: () => addEvent({ type: 'AllBlocksCleared' }),
    listEventsAfter(sequence) {
      const publishedUntilMs = performance.now() - delayMs;
      const published = events.filter(
        ({ event, atMs }) => event.sequence > sequence && atMs <= publishedUntilMs,
      );
      return published.map(({ event }) => event);
    },
  };
}
