/**
 * Selects the reader that this router queries instead of the store, from known routers and recent
 * failures.
 */
import * as ReaderChoices from './readerChoice';
import type { RouterEntry } from './routerEntry';
import type { StoreFollowerOptions } from './storeFollower';

export interface ZoneReadersOptions {
  /** `IP:port` of this router. */
  readonly getOwnAddress: () => string;
  readonly zone: string;
  readonly listRouters: () => readonly RouterEntry[];
  readonly getNowMs: () => number;
}

export type ZoneReaders = Pick<
  StoreFollowerOptions,
  'chooseReader' | 'recordReaderFailure' | 'hasDependents'
>;

/** A failed reader is queried again after this time: faults last seconds. */
const READER_EXCLUSION_MS = 8_000;
/**
 * After a reader failed, the store is watched for this long before another reader is queried. Each
 * failed reader costs a second, and a change must be in force within two.
 */
const DIRECT_WATCH_MS = 4_000;

export function createZoneReaders(options: ZoneReadersOptions): ZoneReaders {
  const { getOwnAddress, zone, listRouters, getNowMs } = options;
  const excludedUntilMs = new Map<string, number>();
  let directWatchUntilMs = Number.NEGATIVE_INFINITY;

  function listExcluded(): ReadonlySet<string> {
    const nowMs = getNowMs();
    for (const [reader, untilMs] of excludedUntilMs) {
      if (untilMs <= nowMs) excludedUntilMs.delete(reader);
    }
    return new Set(excludedUntilMs.keys());
  }

  return {
    chooseReader() {
      if (getNowMs() < directWatchUntilMs) return undefined;
      const routers = listRouters();
      return ReaderChoices.chooseReader({
        ownAddress: getOwnAddress(),
        zone,
        routers,
        excluded: listExcluded(),
      });
    },
    recordReaderFailure(reader) {
      directWatchUntilMs = getNowMs() + DIRECT_WATCH_MS;
      excludedUntilMs.set(reader, getNowMs() + READER_EXCLUSION_MS);
    },
    hasDependents: () => ReaderChoices.hasReaders(listRouters(), zone),
  };
}
