/** Remembers for the state dump which organisations had streams on which routes in the last minute. */

export interface RecentStream {
  readonly service: string;
  /** Empty where callers need no API key. */
  readonly organisation: string;
  readonly route: string;
  readonly level: number;
}

export interface RecentStreams {
  readonly recordStream: (stream: RecentStream) => void;
  readonly listStreams: () => readonly RecentStream[];
}

const RETENTION_MS = 60_000;
const MAX_STREAMS = 500;

export function createRecentStreams(getNowMs: () => number): RecentStreams {
  /** In the order of the last stream of each. */
  const streams = new Map<string, { readonly stream: RecentStream; readonly atMs: number }>();

  return {
    recordStream(stream) {
      const key = JSON.stringify([stream.service, stream.organisation, stream.route]);
      streams.delete(key);
      streams.set(key, { stream, atMs: getNowMs() });
      const oldest = streams.size > MAX_STREAMS ? streams.keys().next().value : undefined;
      if (oldest !== undefined) streams.delete(oldest);
    },
    listStreams() {
      const sinceMs = getNowMs() - RETENTION_MS;
      return [...streams.values()].filter(({ atMs }) => atMs > sinceMs).map(({ stream }) => stream);
    },
  };
}
