/**
 * Knows which build began a stream that a caller resumes.
 *
 * Failure: a caller that resumes its stream at another router gets the rest from whatever version serves, and
 * holds events of two versions that do not fit together. So the origin is known for certain, or the stream is
 * refused: by this router's memory, because a single build has served, by the routers that were
 * told of the stream while several builds served, or from what its router has stored.
 */
import * as Decisions from '@sequoiarill/decisions';
import type {
  Clock,
  Directory,
  OriginHandlers,
  OriginOutcome,
  OriginQuery,
  OriginRecord,
  RouterPeers,
  StreamOrigin,
} from '@sequoiarill/types';

import * as Events from '../events';
import type { ForwardRequest } from '../forwardRequest';
import type { RateLimitedLog } from '../rateLimitedLog';
import type { OriginMemory } from './originMemory';
import type { OriginReports } from './originReports';
import * as ServiceBuilds from './serviceBuilds';
import type { StoredStreamReader } from './storedStreamReader';
import type { StoredStreamWriter } from './storedStreamWriter';

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

export type StreamSource = Omit<StreamOrigin, 'service'>;

export interface StreamOrigins {
  /** The first event for the caller of the request has arrived, from a target of the build. */
  readonly recordBegun: (request: ForwardRequest, source: StreamSource) => void;
  /** Finds what began the stream that the request resumes. */
  readonly find: (request: ForwardRequest) => Promise<FoundOrigin>;
  readonly handlers: OriginHandlers;
  /** Passes all that is remembered here on to other routers, before this one ends. */
  readonly handOver: () => Promise<void>;
  /** Runs until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
  readonly dumpState: () => Readonly<Record<string, unknown>>;
}

export interface StreamOriginsOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly directory: Pick<Directory, 'isUpToDate'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'findOrigin'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly memory: OriginMemory;
  readonly reports: OriginReports;
  readonly builds: ServiceBuilds.ServiceBuilds;
  readonly storedStreams: Pick<StoredStreamReader, 'find'>;
  readonly streamWriter: StoredStreamWriter;
}

/** All others in a small fleet; in a large one, more than remember a stream, since some may be gone. */
const ROUTERS_ASKED = 6;
const UPDATE_INTERVAL_MS = 250;

function listServices({ route, service }: ForwardRequest): readonly string[] {
  const services = route.shares.filter(({ weight }) => weight > 0).map((share) => share.service);
  return [...new Set([service, ...services])];
}

/** The first outcome that names an origin; undefined when all calls have ended without one. */
async function findFirst(
  calls: readonly Promise<OriginOutcome>[],
): Promise<Extract<OriginOutcome, { kind: 'found' }> | undefined> {
  const found = calls.map(async (call) => {
    const outcome = await call;
    if (outcome.kind !== 'found') throw new Error(outcome.kind);
    return outcome;
  });
  // Rejected only when none of them is found.
  return Promise.any(found).catch(() => undefined);
}

export function createStreamOrigins(options: StreamOriginsOptions): StreamOrigins {
  const { clock, directory, peers, log, memory, reports, builds } = options;
  const { storedStreams, streamWriter } = options;
  /** Services with a single build, whose streams no other router has been told of. */
  const untoldServices = new Set<string>();

  function isReportDue(service: string): boolean {
    if (builds.findOnlyOrigin([service]) === undefined) return true;
    untoldServices.add(service);
    return false;
  }

  function recordStream(requestId: string, request: ForwardRequest, origin: StreamOrigin): void {
    const { organisation = '', route, relayTerms } = request;
    const leftMs = ServiceBuilds.computeResumableMs(route);
    const record = { organisation, requestId, origin, ageMs: 0, leftMs };
    memory.addRecord(record);
    // The router of the caller reports a stream that it has sent here.
    if (relayTerms !== undefined) return;
    streamWriter.addRecord(record);
    if (isReportDue(origin.service)) reports.addRecord(record);
  }

  /**
   * Reports streams that no router was told of when another build appears beside the only one: they may be
   * resumed from now on beside it. The others are reported to routers that have come since.
   */
  function reportMissing(): void {
    const isReportable = (service: string) => builds.findOnlyOrigin([service]) === undefined;
    const untold = new Set([...untoldServices].filter(isReportable));
    const newRouters = reports.takeNewRouters();
    if (untold.size === 0 && newRouters.size === 0) return;
    const records = memory.listRecords();
    const services = new Set(records.map(({ origin }) => origin.service));
    const reportable = new Set([...services].filter(isReportable));
    for (const record of records) {
      const { service } = record.origin;
      if (untold.has(service)) reports.addRecord(record);
      else if (reportable.has(service)) reports.addRecordFor(record, newRouters);
    }
    untold.forEach((service) => untoldServices.delete(service));
  }

  function findHere(query: OriginQuery): Extract<FoundOrigin, { kind: 'found' }> | undefined {
    const remembered = memory.find(query);
    if (remembered !== undefined) return { kind: 'found', source: 'ownMemory', ...remembered };
    const only = builds.findOnlyOrigin(query.services);
    return only === undefined ? undefined : { kind: 'found', source: 'onlyBuild', origin: only };
  }

  async function findElsewhere(query: OriginQuery): Promise<FoundOrigin> {
    const wasUpToDate = directory.isUpToDate();
    const ranked = Decisions.selectOriginHolders(peers.listRouters(), query.requestId);
    const asked = ranked.filter((router) => router !== peers.self).slice(0, ROUTERS_ASKED);
    let answered = 0;
    let silent = 0;
    const found = await findFirst(
      asked.map(async (router) => {
        const outcome = await peers.findOrigin(router, query);
        if (outcome.kind !== 'failed') answered += 1;
        else if (outcome.isSilent === true) silent += 1;
        return outcome;
      }),
    );
    if (found !== undefined) return { ...found, source: 'router' };
    const stored = await storedStreams.find(query);
    if (stored.kind === 'found') return { ...stored, source: 'store' };
    // The directory may have become complete, or a report may have arrived meanwhile.
    const foundHere = findHere(query);
    if (foundHere !== undefined) return foundHere;
    // A router that did not answer in time may know the stream; one that has terminated knows nothing.
    const isLate = silent > 0 || stored.isTemporary;
    const isTemporary = isLate || !wasUpToDate || !directory.isUpToDate();
    return { kind: 'unknown', isTemporary, asked: asked.length, answered };
  }

  return {
    recordBegun(request, { version, models, target }) {
      const origin = { service: request.service, version, models, target };
      builds.recordBegun(origin);
      recordStream(request.id, request, origin);
      // Keeps the first attempt known for as long as this one may be resumed. An attempt that is not bound to a
      // build has begun a stream of its own, whatever other one it names.
      const { resumedRequestId, build } = request;
      if (resumedRequestId !== undefined && build !== undefined) {
        recordStream(resumedRequestId, request, origin);
      }
    },
    async find(request) {
      const { organisation = '', resumedRequestId: requestId = '' } = request;
      const query = { organisation, requestId, services: listServices(request) };
      return findHere(query) ?? findElsewhere(query);
    },
    handlers: {
      handleOrigins: (records: readonly OriginRecord[]) => records.forEach(memory.addRecord),
      handleOriginQuery(query) {
        const found = findHere(query);
        if (found === undefined) return { kind: 'unknown' };
        return { ...found, source: found.source === 'onlyBuild' ? 'onlyBuild' : 'memory' };
      },
    },
    async handOver() {
      memory
        .listRecords()
        .filter(({ origin }) => builds.findOnlyOrigin([origin.service]) === undefined)
        .forEach(reports.addRecord);
      await reports.sendPending();
    },
    async run(signal) {
      while (!signal.aborted) {
        await clock.waitMs(UPDATE_INTERVAL_MS, signal);
        if (signal.aborted) return;
        reportMissing();
        await Promise.all([builds.update(), streamWriter.update()]).catch((error: unknown) => {
          log.logEvent(Events.ORIGINS_FAILED, { error });
        });
      }
    },
    dumpState: () => ({ streams: memory.getSize(), services: builds.dumpState() }),
  };
}
