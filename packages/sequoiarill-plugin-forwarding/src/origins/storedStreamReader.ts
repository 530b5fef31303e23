/** Looks up what began streams in the entries that routers have stored, some of which have ended since. */
import * as Decisions from '@sequoiarill/decisions';
import type {
  Clock,
  ForwardingWire,
  KeyValueStore,
  RouterPeers,
  StreamKey,
  StreamOrigin,
} from '@sequoiarill/types';

import * as StoredStreams from './storedStreams';
import * as StoredStreamWriters from './storedStreamWriter';

export type StoredOrigin =
  | { readonly kind: 'found'; readonly origin: StreamOrigin }
  /** `isTemporary`: the store did not answer. */
  | { readonly kind: 'unknown'; readonly isTemporary: boolean };

export interface StoredStreamReader {
  /** Reads the entries unless that was done a moment ago. */
  readonly find: (key: StreamKey) => Promise<StoredOrigin>;
}

export interface StoredStreamReaderOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly wire: Pick<ForwardingWire, 'streamPrefix'>;
  readonly peers: Pick<RouterPeers, 'listRouters'>;
  readonly store: Pick<KeyValueStore, 'readPrefix'>;
}

/** Bounds the memory; streams of later entries are not known. */
const MAX_STREAMS = 20_000;

function isSameBuild(left: StreamOrigin | undefined, right: StreamOrigin): boolean {
  return left?.service === right.service && Decisions.isSameBuild(left, right);
}

export function createStoredStreamReader(options: StoredStreamReaderOptions): StoredStreamReader {
  const { clock, wire, peers, store } = options;
  /** By digest; undefined where entries contradict each other. */
  let origins: ReadonlyMap<string, StreamOrigin | undefined> = new Map();
  let readAtMs = Number.NEGATIVE_INFINITY;
  let reading: Promise<boolean> | undefined;

  function applyEntries(values: readonly string[]): void {
    const found = new Map<string, StreamOrigin | undefined>();
    for (const value of values) {
      for (const { digest, origin } of StoredStreams.decodeStreams(value)) {
        if (found.size >= MAX_STREAMS) break;
        const known = found.get(digest);
        found.set(digest, !found.has(digest) || isSameBuild(known, origin) ? origin : undefined);
      }
    }
    origins = found;
  }

  /** Returns whether the store has answered. */
  async function readEntries(): Promise<boolean> {
    const startedAtMs = clock.getNowMs();
    const range = await store.readPrefix(wire.streamPrefix);
    if (range.kind === 'unavailable') return false;
    readAtMs = startedAtMs;
    applyEntries(range.entries.map(({ value }) => value));
    return true;
  }

  function isReadDue(): boolean {
    const intervalMs = StoredStreamWriters.computeIntervalMs(peers.listRouters().length);
    return clock.getNowMs() - readAtMs >= intervalMs;
  }

  return {
    async find(key) {
      const digest = StoredStreams.computeDigest(key);
      const known = origins.get(digest);
      if (known !== undefined) return { kind: 'found', origin: known };
      if (reading === undefined && !isReadDue()) return { kind: 'unknown', isTemporary: false };
      reading ??= readEntries().finally(() => {
        reading = undefined;
      });
      const hasAnswered = await reading;
      const origin = origins.get(digest);
      if (origin !== undefined) return { kind: 'found', origin };
      return { kind: 'unknown', isTemporary: !hasAnswered };
    },
  };
}
