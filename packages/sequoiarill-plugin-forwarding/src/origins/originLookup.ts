/** Finds what began a stream, here, in the store or through other routers. */
import * as Decisions from '@sequoiarill/decisions';
import type {
  Clock,
  Directory,
  OriginOutcome,
  OriginQuery,
  RouterPeers,
  StreamOrigin,
} from '@sequoiarill/types';

import type { OriginMemory } from './originMemory';
import type { OnlyOrigin, ServiceBuilds } from './serviceBuilds';
import type { StoredStreamReader } from './storedStreamReader';

export type FoundOrigin =
  | {
      readonly kind: 'found';
      readonly origin: StreamOrigin;
      readonly source: 'ownMemory' | 'onlyBuild' | 'router' | 'store';
      /** Time since the first event of the stream, where it is remembered. */
      readonly ageMs?: number;
    }
  | {
      readonly kind: 'unknown';
      /** Whether this router, or one that did not answer, may know more in a moment. */
      readonly isTemporary: boolean;
      /** Routers that were asked, and those that answered. */
      readonly asked: number;
      readonly answered: number;
    };

export interface OriginLookup {
  /** `arrivedAtMs`: when the request arrived that resumes the stream, in monotonic milliseconds. */
  readonly find: (query: OriginQuery, arrivedAtMs: number) => Promise<FoundOrigin>;
}

export interface OriginLookupOptions {
  readonly clock: Pick<Clock, 'waitMs'>;
  readonly directory: Pick<Directory, 'isUpToDate'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'findOrigin'>;
  readonly memory: Pick<OriginMemory, 'find'>;
  readonly builds: Pick<ServiceBuilds, 'verifyOnlyOrigin'>;
  readonly storedStreams: Pick<StoredStreamReader, 'find'>;
}

/** All others in a small fleet; in a large one, more than remember a stream, since some may be gone. */
const ROUTERS_ASKED = 6;
/** Time for which the store may confirm the only build before other routers are asked as well; it answers in milliseconds. */
const STORE_LEAD_MS = 100;
/** A caller that cannot be served is told so within a second. */
const VERIFY_TIMEOUT_MS = 600;

type Found = Extract<FoundOrigin, { kind: 'found' }>;

/** The first outcome that names an origin; undefined when all calls have ended without one. */
async function findFirst(calls: readonly Promise<Found | undefined>[]): Promise<Found | undefined> {
  const found = calls.map(async (call) => {
    const outcome = await call;
    if (outcome === undefined) throw new Error('unknown');
    return outcome;
  });
  // Rejected only when none of them is found.
  return Promise.any(found).catch(() => undefined);
}

function buildFound(verified: OnlyOrigin): Found | undefined {
  if (verified.kind !== 'only') return undefined;
  return { kind: 'found', source: 'onlyBuild', origin: verified.origin };
}

/** What a router concludes from the builds that it knows of counts only with news as young as the question. */
function isCertain(reply: Extract<OriginOutcome, { kind: 'found' }>): boolean {
  return reply.source === 'memory' || reply.isVerified;
}

export function createOriginLookup(options: OriginLookupOptions): OriginLookup {
  const { clock, directory, peers, memory, builds, storedStreams } = options;

  function findRemembered(query: OriginQuery): Found | undefined {
    const remembered = memory.find(query);
    return remembered && { kind: 'found', source: 'ownMemory', ...remembered };
  }

  /** Undefined where the store takes longer than other routers are left unasked for. */
  async function waitForStore(verifying: Promise<OnlyOrigin>): Promise<Found | undefined> {
    const answered = new AbortController();
    const overdue = clock.waitMs(STORE_LEAD_MS, answered.signal).then(() => undefined);
    const verified = await Promise.race([verifying, overdue]);
    answered.abort();
    return verified && buildFound(verified);
  }

  async function findElsewhere(
    query: OriginQuery,
    verifying: Promise<OnlyOrigin>,
  ): Promise<FoundOrigin> {
    const wasUpToDate = directory.isUpToDate();
    const ranked = Decisions.selectOriginHolders(peers.listRouters(), query.requestId);
    const asked = ranked.filter((router) => router !== peers.self).slice(0, ROUTERS_ASKED);
    let answered = 0;
    let silent = 0;
    const found = await findFirst([
      verifying.then(buildFound),
      ...asked.map(async (router): Promise<Found | undefined> => {
        const outcome = await peers.findOrigin(router, query);
        if (outcome.kind !== 'failed') answered += 1;
        else if (outcome.isSilent === true) silent += 1;
        if (outcome.kind !== 'found' || !isCertain(outcome)) return undefined;
        const { origin, ageMs } = outcome;
        return {
          kind: 'found',
          origin,
          source: 'router',
          ...(ageMs === undefined ? {} : { ageMs }),
        };
      }),
    ]);
    if (found !== undefined) return found;
    const hasStoreAnswered = (await verifying).kind !== 'unverified';
    const stored = hasStoreAnswered
      ? await storedStreams.find(query)
      : ({ kind: 'unknown', isTemporary: true } as const);
    if (stored.kind === 'found') return { ...stored, source: 'store' };
    // A report may have arrived meanwhile.
    const remembered = findRemembered(query);
    if (remembered !== undefined) return remembered;
    // A router that did not answer in time may know the stream; one that has terminated knows nothing.
    const isLate = silent > 0 || stored.isTemporary;
    const isTemporary = isLate || !wasUpToDate || !directory.isUpToDate();
    return { kind: 'unknown', isTemporary, asked: asked.length, answered };
  }

  return {
    async find(query, arrivedAtMs) {
      const remembered = findRemembered(query);
      if (remembered !== undefined) return remembered;
      const verifying = builds.verifyOnlyOrigin(query.services, arrivedAtMs, VERIFY_TIMEOUT_MS);
      return (await waitForStore(verifying)) ?? findElsewhere(query, verifying);
    },
  };
}
