/**
 * Simulates callers that send streams, orders and reads over keep-alive connections, and sends probes of
 * the configuration.
 */
import * as Standins from '@sequoiarill/standins';
import * as Undici from 'undici';

import * as Configurations from './configuration';
import * as Pacing from './pacing';
import type { OpenAnswer } from './pacing';
import * as RequestLogs from './requestLog';
import type { CallerResult, RequestLog, SentRequest } from './requestLog';
import type { Random } from './random';
import type { ManagedRouter } from './routers';
import { CRASHING_PART } from './targets';

export interface CallersOptions {
  readonly routers: readonly ManagedRouter[];
  readonly requestLog: RequestLog;
  readonly random: Random;
  readonly eventCount: number;
  /** All configuration versions with the times of their writes, newest first. */
  readonly listVersions: () => readonly WrittenVersion[];
}

export interface WrittenVersion {
  readonly version: number;
  readonly writtenAtMs: number;
}

const OK = 200;
const REFUSED_CODE = 'ECONNREFUSED';
/** Attempts of a caller to go on with a stream. */
const MAX_RESUMES = 3;
const PROBE_TIMEOUT_MS = 1_000;
const PROBE_INTERVAL_MS = 120;
const REQUEST_PAUSE_MS = [5, 120] as const;
const CRASHING_ID = 'crashing-';

/** Streams, no two alike, that one caller sends to each router in turn. */
interface SteadyStreams {
  readonly idPrefix: string;
  readonly kind: 'stream' | 'once';
  readonly pauseMs: number;
}

const CRASHING_STREAMS: SteadyStreams = { idPrefix: CRASHING_ID, kind: 'stream', pauseMs: 400 };
const ONCE_STREAMS: SteadyStreams = { idPrefix: 'once-', kind: 'once', pauseMs: 60 };
/** Share of the requests whose caller disconnects before the end of the answer. */
const ABANDON_SHARE = 0.05;
/** Share of the requests whose caller sends a long body slowly and reads the answer slowly. */
const SLOW_SHARE = 0.05;
const PATHS = { once: Configurations.ONCE_PATH, order: '/orders/', read: '/reads/' } as const;
const ABANDON_AFTER_MS = [20, 400] as const;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Reads until the end, a broken connection or the abort, and returns what arrived. */
async function readAnswer(
  { statusCode, headers, body }: OpenAnswer,
  isSlow: boolean,
): Promise<CallerResult> {
  const chunks: Buffer[] = [];
  let isComplete = true;
  try {
    for await (const chunk of isSlow ? Pacing.readSlowly(body) : body) chunks.push(chunk);
  } catch {
    isComplete = false;
  }
  // Without framing the body ends where the connection closes, and a truncated body looks complete.
  const { 'content-length': length, 'transfer-encoding': coding } = headers;
  const isFramed = length !== undefined || coding !== undefined;
  return {
    kind: 'answer',
    status: statusCode,
    text: Buffer.concat(chunks).toString('utf8'),
    isComplete: isComplete && isFramed,
    isSigned: Standins.hasSignature(headers),
  };
}

/** The rest of a broken stream after the last event that arrived completely; undefined if none is due. */
function findRest(
  sent: SentRequest,
  result: CallerResult,
  eventCount: number,
): Pick<SentRequest, 'id' | 'fromEvent' | 'resumes'> | undefined {
  if (sent.kind !== 'stream') return undefined;
  const received = result.kind === 'answer' ? RequestLogs.listEvents(result.text).length : 0;
  const fromEvent = sent.fromEvent + received;
  if (fromEvent > eventCount || fromEvent === 1) return undefined;
  if (result.kind === 'answer' && result.isComplete && result.status === OK) return undefined;
  const [first = sent.id, attempts = '0'] = sent.id.split('.rest');
  const attempt = Number(attempts) + 1;
  if (attempt > MAX_RESUMES) return undefined;
  return { id: `${first}.rest${attempt}`, fromEvent, resumes: first };
}

/** Whether the request holds the part that crashes engines. */
export function isCrashing(requestId: string): boolean {
  return requestId.startsWith(CRASHING_ID);
}

function createHeaders({
  id,
  kind,
  organisation,
  body,
  fromEvent,
  resumes,
}: SentRequest): Readonly<Record<string, string>> {
  const apiKey = Configurations.formatKey(organisation);
  const headers = Standins.createCallerHeaders({
    requestId: id,
    apiKey,
    limitMs: Configurations.TIMEOUT_MS,
  });
  if (!RequestLogs.isStream(kind)) {
    return { ...headers, 'content-length': String(Buffer.byteLength(body)) };
  }
  // A continuation has the id `ID.restN` and the prompt of the original stream.
  const [prompt = id] = id.split('.');
  const resumeAfter = fromEvent > 1 ? fromEvent - 1 : undefined;
  const streamHeaders = Standins.createStreamHeaders(prompt, resumeAfter, resumes);
  if (!isCrashing(id)) return { ...headers, ...streamHeaders };
  return { ...headers, ...streamHeaders, 'prompt-prefix': `aa:20,${CRASHING_PART}:20,${id}:60` };
}

function createContent(random: Random, id: string) {
  const isSlow = random.next() < SLOW_SHARE;
  return {
    organisation: random.pickOne(Configurations.ORGANISATIONS),
    priority: random.pickBetween(0, Configurations.STREAM_PATHS.length - 1),
    isSlow,
    body: isSlow ? Pacing.formatBulkyBody(id) : `body of ${id}`,
  };
}

export function createCallers(options: CallersOptions) {
  const { routers, requestLog, random, eventCount } = options;
  const agent = new Undici.Agent({ connections: 16, pipelining: 1 });
  let requestCount = 0;

  function getRouter(index: number): ManagedRouter {
    const router = routers[index];
    if (router === undefined) throw new Error(`router ${index} does not exist`);
    return router;
  }

  function createSending(router: number) {
    const incarnation = getRouter(router).getIncarnation();
    return { router, incarnation, sentAtMs: performance.now() };
  }

  async function sendRequest(request: SentRequest, timeoutMs: number): Promise<CallerResult> {
    const { id, kind, body, isSlow } = request;
    const streamPath = Configurations.STREAM_PATHS[request.priority] ?? '';
    const path = { ...PATHS, stream: streamPath }[kind];
    requestLog.requests.set(id, request);
    const signal = AbortSignal.timeout(timeoutMs);
    const address = getRouter(request.router).getAddress();
    try {
      // A process that does not listen yet; without this, the path's first part is taken for the host, and looked up.
      if (address === '') return { kind: 'noAnswer', wasRefused: true };
      const url = `http://${address}${path}x`;
      const headers = createHeaders(request);
      const answer = isSlow
        ? await Pacing.sendSlowly({ url, headers, body, signal })
        : await Undici.request(url, { method: 'POST', dispatcher: agent, body, signal, headers });
      recordLeaving(request, answer);
      return await readAnswer(answer, isSlow);
    } catch (error) {
      // The connection was refused or reset, or the request timed out before the headers arrived.
      return { kind: 'noAnswer', wasRefused: (error as { code?: string }).code === REFUSED_CODE };
    } finally {
      requestLog.ends.set(id, { atMs: performance.now(), hasCallerLeft: signal.aborted });
    }
  }

  function recordLeaving(
    { router, incarnation }: SentRequest,
    { headers }: Pick<OpenAnswer, 'headers'>,
  ): void {
    const target = Standins.findLeavingTarget(headers);
    if (target === undefined || getRouter(router).getIncarnation() !== incarnation) return;
    requestLog.leavingAnswers.push({ target, router, incarnation, atMs: performance.now() });
  }

  async function runNextRequest(): Promise<void> {
    requestCount += 1;
    const kind = random.pickOne(['stream', 'stream', 'order', 'order', 'read'] as const);
    const router = random.pickBetween(0, routers.length - 1);
    const id = `r${requestCount}`;
    const sending = createSending(router);
    const request = { ...sending, id, kind, ...createContent(random, id), fromEvent: 1 };
    const isAbandoned = random.next() < ABANDON_SHARE;
    const result = await sendRequest(
      request,
      isAbandoned ? random.pickBetween(...ABANDON_AFTER_MS) : Configurations.TIMEOUT_MS,
    );
    requestLog.results.set(id, result);
    // Half of the callers that leave come back for the rest.
    if (!isAbandoned || requestCount % 2 === 0) await resumeStream(request, result);
  }

  /** Goes on with a broken stream at other routers, as a balancer would choose for new connections. */
  async function resumeStream(first: SentRequest, firstResult: CallerResult): Promise<void> {
    let [request, result] = [first, firstResult];
    for (;;) {
      const rest = findRest(request, result, eventCount);
      if (rest === undefined) return;
      const router = (request.router + 1) % routers.length;
      request = { ...request, ...createSending(router), ...rest };
      result = await sendRequest(request, Configurations.TIMEOUT_MS);
      requestLog.results.set(request.id, result);
    }
  }

  async function sendProbe(
    router: number,
    expected: WrittenVersion,
    isNewest: boolean,
  ): Promise<void> {
    requestCount += 1;
    const { version, writtenAtMs } = expected;
    const managedRouter = getRouter(router);
    const [incarnation, atMs] = [managedRouter.getIncarnation(), performance.now()];
    try {
      const answer = await Undici.request(
        `http://${managedRouter.getAddress()}${Configurations.formatVersionPath(version)}x`,
        {
          method: 'GET',
          dispatcher: agent,
          signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
          headers: Standins.createCallerHeaders({
            requestId: `probe-${requestCount}`,
            apiKey: Configurations.formatVersionKey(version),
            limitMs: PROBE_TIMEOUT_MS,
          }),
        },
      );
      await answer.body.dump();
      // A newer version may have been written during the request.
      const isStillNewest = isNewest && options.listVersions()[0]?.version === version;
      const status = answer.statusCode;
      if (managedRouter.getIncarnation() !== incarnation) return;
      requestLog.probes.push({
        router,
        incarnation,
        atMs,
        version,
        writtenAtMs,
        isNewest: isStillNewest,
        status,
      });
    } catch {
      // The router is down or unreachable, so the probe gives no information on its configuration.
    }
  }

  return {
    /** Runs one caller, which sends requests one at a time until the signal is aborted. */
    async runCaller(signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        await runNextRequest();
        await waitMs(random.pickBetween(...REQUEST_PAUSE_MS));
      }
    },
    /** Sends streams with the part that crashes engines, no two alike, until the signal is aborted. */
    runCrashingCaller: (signal: AbortSignal) =>
      runSteadyCaller(options, { ...CRASHING_STREAMS, createSending, sendRequest }, signal),
    /** Sends streams that may run once at most, one at a time, until the signal is aborted. */
    runOnceCaller: (signal: AbortSignal) =>
      runSteadyCaller(options, { ...ONCE_STREAMS, createSending, sendRequest }, signal),
    /** Probes the two newest configuration versions at a router until the signal is aborted. */
    async runProber(router: number, signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        const [newest, previous] = options.listVersions();
        if (newest !== undefined) await sendProbe(router, newest, true);
        if (previous !== undefined) await sendProbe(router, previous, false);
        await waitMs(PROBE_INTERVAL_MS);
      }
    },
    close: () => agent.destroy(),
  };
}

interface SteadySending extends SteadyStreams {
  readonly createSending: (
    router: number,
  ) => Pick<SentRequest, 'router' | 'incarnation' | 'sentAtMs'>;
  readonly sendRequest: (request: SentRequest, timeoutMs: number) => Promise<CallerResult>;
}

async function runSteadyCaller(
  { routers, requestLog }: CallersOptions,
  { idPrefix, kind, pauseMs, createSending, sendRequest }: SteadySending,
  signal: AbortSignal,
): Promise<void> {
  for (let count = 0; !signal.aborted; count += 1) {
    const id = `${idPrefix}${count}`;
    const common = { organisation: Standins.ORGANISATION, priority: 0, isSlow: false };
    const sending = createSending(count % routers.length);
    const request = { ...common, ...sending, id, kind, body: id, fromEvent: 1 };
    requestLog.results.set(id, await sendRequest(request, Configurations.TIMEOUT_MS));
    await waitMs(pauseMs);
  }
}
