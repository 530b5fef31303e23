/** Sends requests through other routers while this one does not reach their targets. */
import type {
  Clock,
  Directory,
  ForwardingWire,
  RouterLocation,
  RouterPeers,
  TargetBuild,
} from '@sequoiarill/types';

import type { HopTerms } from '../callOpeners';
import type { ExitCheck } from '../crashes/exitCheck';
import * as ForwardRequests from '../forwardRequest';
import type { ForwardRequest } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import * as TargetCalls from '../targets/targetCall';
import type { CallEvent, TargetCall } from '../targets/targetCall';
import type { PathMonitor } from '../targets/pathMonitor';
import * as RelayHeaders from './relayHeaders';
import type { RelayRefusalCause } from './relayHeaders';

/** Another router that takes requests of this router's callers. */
export interface RelayRouter {
  readonly address: string;
  readonly zone: string;
}

export interface RelayCall extends Pick<TargetCall, 'wasSent' | 'cancel'> {
  /** The next event; `timeout` when the request's time is up, or the other router is gone and may be left. */
  readonly readNext: () => Promise<CallEvent>;
}

export interface RelayCallOptions {
  readonly targetsLeft: number;
  /** Whether a target may have run it. */
  readonly hasRun: boolean;
  /** Whether it was sent to a target before. */
  readonly isRepeat: boolean;
  /** Last event that the caller received of a stream. */
  readonly lastEventId?: string | undefined;
  /** Build that must go on with the stream. */
  readonly build?: TargetBuild | undefined;
  /** The only target that it may be sent to. */
  readonly target?: string | undefined;
  /** Whether a router that is gone may be left, after so many checks in a row without a response. */
  readonly mayLeave: (missedChecks: number) => boolean;
}

export interface Relays {
  /** Whether the request should go through another router instead of to a target. */
  readonly isDue: (request: ForwardRequest) => boolean;
  /** Whether another router may be asked after no target was found here. */
  readonly isPossible: (request: ForwardRequest) => boolean;
  /** A router that was not tried yet; undefined when none is left. */
  readonly chooseRouter: (tried: ReadonlySet<string>) => RelayRouter | undefined;
  /** Whether the router did not take a request a moment ago. */
  readonly isAvoided: (router: RelayRouter) => boolean;
  readonly openCall: (
    request: ForwardRequest,
    router: RelayRouter,
    options: RelayCallOptions,
  ) => RelayCall;
  /** The router did not take a request. */
  readonly recordRefusal: (router: RelayRouter, cause: RelayRefusalCause | 'unanswered') => void;
  /** A target answered through the router. */
  readonly recordAnswer: (service: string, router: RelayRouter, version: number) => void;
  /** No router took a request to the service. */
  readonly recordUntaken: (service: string) => void;
  /** Closes connections to routers that are gone. */
  readonly removeMissing: () => void;
}

export interface RelaysOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>;
  readonly nextRandom: () => number;
  readonly wire: Pick<ForwardingWire, 'headers'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters'>;
  readonly directory: Pick<Directory, 'getConfiguration' | 'listTargets'>;
  readonly paths: Pick<PathMonitor, 'isRelayDue' | 'mayRelay' | 'recordRelayed' | 'recordUntaken'>;
  /** Sends the request with these headers to the router. */
  readonly openCall: (router: RelayRouter, terms: HopTerms, request: ForwardRequest) => TargetCall;
  readonly checkExit: ExitCheck;
  /** Closes connections to other routers than these, by address. */
  readonly closeMissing: (addresses: ReadonlySet<string>) => void;
}

/** Time for which a router that did not take a request gets no others. */
const AVOIDED_MS = 1_000;
/** The same for a router that did not answer: a partition lasts longer, and each try costs a timeout. */
const UNANSWERED_MS = 3_000;
/** Another router of the region is connected within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 150;
/** Silence after which the other router is checked; it answers once a target has. */
const HOP_CHECK_MS = 500;
/** Time before a check that got no response is repeated. */
const HOP_RECHECK_MS = 100;
/** Failure: a busy machine leaves one connection attempt without a response, and a sound hop is given up for it. */
const MAX_MISSED_CHECKS = 3;
/** Time between checks of a router that is gone, where the request stays for now. */
const GONE_RECHECK_MS = 300;
/** The other router must not answer after this one's time is up. */
const HOP_MARGIN_MS = 10;
/** Time from the first read after the time limit in which buffered data of an answer is still read. */
const LATE_READ_MS = 50;

function getHopCheckMs(missedChecks: number): number {
  if (missedChecks === 0) return HOP_CHECK_MS;
  return missedChecks < MAX_MISSED_CHECKS ? HOP_RECHECK_MS : GONE_RECHECK_MS;
}

export function createRelays(options: RelaysOptions): Relays {
  const { clock, wire, peers, directory, paths, checkExit } = options;
  /** End of the time for which a router gets no requests, by address; monotonic milliseconds. */
  const avoidedUntilMs = new Map<string, number>();
  /** Newest configuration version by which an answer through another router was decided. */
  let newestVersion = 0;

  function listRouters(): readonly RelayRouter[] {
    return peers
      .listRouters()
      .flatMap(({ address, zone, relayAddress }: RouterLocation) =>
        relayAddress === undefined || address === peers.self
          ? []
          : [{ address: relayAddress, zone }],
      );
  }

  function isAvoided({ address }: RelayRouter): boolean {
    return (avoidedUntilMs.get(address) ?? 0) > clock.getNowMs();
  }

  function isRelayable({ relayTerms }: ForwardRequest): boolean {
    return relayTerms === undefined && listRouters().length > 0;
  }

  function getVersion(): number {
    return Math.max(newestVersion, directory.getConfiguration()?.version ?? 0);
  }

  function createHeaders(
    request: ForwardRequest,
    { address }: RelayRouter,
    callOptions: RelayCallOptions,
  ): readonly RawHeader[] {
    const { targetsLeft, hasRun, isRepeat, build, target } = callOptions;
    const { lastEventId = request.lastEventId } = callOptions;
    const names = wire.headers;
    const atMs = clock.getNowMs() + HOP_MARGIN_MS;
    const terms = {
      version: getVersion(),
      targetsLeft,
      hasRun,
      ...(build === undefined ? {} : { build }),
      ...(target === undefined ? {} : { target }),
      leaving: directory.listTargets(request.service).filter(({ state }) => state === 'draining'),
    };
    return [
      ...request.headers.filter(([name]) => name.toLowerCase() !== names.lastEventId),
      [names.remainingMs, String(ForwardRequests.computeTargetMs(request, atMs, isRepeat))],
      // A target that has the address of a router that is gone refuses the request.
      [names.expectedTarget, address],
      ...(request.apiKey === undefined ? [] : [[names.apiKey, request.apiKey] as const]),
      ...(lastEventId === undefined ? [] : [[names.lastEventId, lastEventId] as const]),
      ...RelayHeaders.encodeTerms(terms),
    ];
  }

  /**
   * Failure: a router that is paused or busy for a moment holds the request on, and giving it up costs an attempt, or ends
   * a stream. Only one that refuses connections, or leaves several attempts without response, is gone; and it is left only
   * where the request can be sent once more.
   */
  async function readHopEvent(
    request: ForwardRequest,
    router: RelayRouter,
    call: TargetCall,
    mayLeave: RelayCallOptions['mayLeave'],
    isTooLate: (expiresAtMs: number) => boolean,
  ): Promise<CallEvent> {
    let missedChecks = 0;
    for (;;) {
      const limitMs = call.wasSent() ? getHopCheckMs(missedChecks) : CONNECT_TIMEOUT_MS;
      const silenceDeadlineMs = clock.getRunningMs() + limitMs;
      const expiresAtMs = ForwardRequests.getDeadlineMs(request);
      const event = await TargetCalls.readNextEvent(clock, call, {
        silenceDeadlineMs,
        expiresAtMs,
      });
      if (event.kind === 'data' && isTooLate(expiresAtMs)) return { kind: 'timeout' };
      if (event.kind !== 'timeout' || clock.getNowMs() >= expiresAtMs) return event;
      if (!call.wasSent()) return event;
      const result = await checkExit(router);
      missedChecks = result === 'silent' ? missedChecks + 1 : 0;
      const isGone = result === 'ended' || missedChecks >= MAX_MISSED_CHECKS;
      // The answer may have arrived during the check.
      if (isGone && mayLeave(missedChecks)) return call.readEvent(0);
    }
  }

  /**
   * Data that is always at hand must not hold the request beyond its time, but what arrived in time is read after a pause
   * of this process. The returned function is called after each read.
   */
  function createLateReadLimit(): (expiresAtMs: number) => boolean {
    let lateSinceMs: number | undefined;
    return function isTooLate(expiresAtMs) {
      const nowMs = clock.getNowMs();
      if (nowMs < expiresAtMs) return false;
      lateSinceMs ??= nowMs;
      return nowMs - lateSinceMs > LATE_READ_MS;
    };
  }

  return {
    isDue: (request) => paths.isRelayDue(request.service) && isRelayable(request),
    isPossible: (request) => paths.mayRelay(request.service) && isRelayable(request),
    isAvoided,
    chooseRouter(tried) {
      const untried = listRouters().filter(({ address }) => !tried.has(address));
      const preferred = untried.filter((router) => !isAvoided(router));
      return preferred[Math.floor(options.nextRandom() * preferred.length)];
    },
    openCall(request, router, callOptions) {
      const headers = createHeaders(request, router, callOptions);
      const { isRepeat } = callOptions;
      const call = options.openCall(router, { headers, isRepeat }, request);
      const isTooLate = createLateReadLimit();
      return {
        wasSent: call.wasSent,
        cancel: call.cancel,
        readNext: () => readHopEvent(request, router, call, callOptions.mayLeave, isTooLate),
      };
    },
    recordRefusal({ address }, cause) {
      const nowMs = clock.getNowMs();
      for (const [key, untilMs] of avoidedUntilMs) {
        if (untilMs <= nowMs) avoidedUntilMs.delete(key);
      }
      if (cause === 'refused') return;
      const avoidedMs = cause === 'unanswered' ? UNANSWERED_MS : AVOIDED_MS;
      avoidedUntilMs.set(address, nowMs + avoidedMs);
    },
    recordAnswer(service, { address }, version) {
      newestVersion = Math.max(newestVersion, version);
      paths.recordRelayed(service, address);
    },
    recordUntaken: paths.recordUntaken,
    removeMissing() {
      options.closeMissing(new Set(listRouters().map(({ address }) => address)));
    },
  };
}
