/**
 * Knows which build began a stream that a caller resumes.
 *
 * Failure: a caller that resumes its stream at another router gets the rest from whatever version serves, and
 * holds events of two versions that do not fit together. So the origin is known for certain, or the stream is
 * refused: by this router's memory, because a single build has served, by the routers that were
 * told of the stream while several builds served, or from what its router has stored.
 */
import type { Clock, OriginHandlers, OriginRecord, StreamOrigin } from '@sequoiarill/types';

import * as Events from '../events';
import type { ForwardRequest } from '../forwardRequest';
import type { RateLimitedLog } from '../rateLimitedLog';
import * as OriginLookups from './originLookup';
import type { FoundOrigin, OriginLookupOptions } from './originLookup';
import type { OriginMemory } from './originMemory';
import type { OriginReports } from './originReports';
import * as ServiceBuilds from './serviceBuilds';
import type { StoredStreamWriter } from './storedStreamWriter';

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

export interface StreamOriginsOptions extends OriginLookupOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly memory: OriginMemory;
  readonly reports: OriginReports;
  readonly builds: ServiceBuilds.ServiceBuilds;
  readonly streamWriter: StoredStreamWriter;
}

const UPDATE_INTERVAL_MS = 250;
/** Below the time for which another router waits for the answer. */
const PEER_VERIFY_TIMEOUT_MS = 150;

function listServices({ route, service }: ForwardRequest): readonly string[] {
  const services = route.shares.filter(({ weight }) => weight > 0).map((share) => share.service);
  return [...new Set([service, ...services])];
}

export function createStreamOrigins(options: StreamOriginsOptions): StreamOrigins {
  const { clock, log, memory, reports, builds, streamWriter } = options;
  const lookup = OriginLookups.createOriginLookup(options);
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
    find(request) {
      const { organisation = '', resumedRequestId: requestId = '', arrivedAtMs } = request;
      const query = { organisation, requestId, services: listServices(request) };
      return lookup.find(query, arrivedAtMs);
    },
    handlers: {
      handleOrigins: (records: readonly OriginRecord[]) => records.forEach(memory.addRecord),
      async handleOriginQuery(query) {
        const remembered = memory.find(query);
        if (remembered !== undefined) {
          return { kind: 'found', source: 'memory', isVerified: false, ...remembered };
        }
        const verified = await builds.verifyOnlyOrigin(
          query.services,
          clock.getNowMs(),
          PEER_VERIFY_TIMEOUT_MS,
        );
        if (verified.kind !== 'only') return { kind: 'unknown' };
        return { kind: 'found', source: 'onlyBuild', isVerified: true, origin: verified.origin };
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
