/** Callers: streams, orders and reads over kept connections, and questions about the configuration. */
import * as Standins from '@sequoiarill/standins';
import * as Undici from 'undici';

import * as Configurations from './configuration';
import type { CallerView, Ledger, SentRequest } from './ledger';
import type { Random } from './random';
import type { RouterPlace } from './routers';

export interface CallersOptions {
  readonly routers: readonly RouterPlace[];
  readonly ledger: Ledger;
  readonly random: Random;
  readonly eventCount: number;
  /** The newest version and the one before, with the moments of their writes. */
  readonly listVersions: () => readonly WrittenVersion[];
}

export interface WrittenVersion {
  readonly version: number;
  readonly writtenAtMs: number;
}

const LIMIT_MS = 8_000;
const PROBE_LIMIT_MS = 1_000;
const PROBE_PAUSE_MS = 120;
const PAUSE_MS = [5, 120] as const;
/** Callers that leave in the middle of their answer. */
const LEAVE_SHARE = 0.05;
const LEAVE_MS = [20, 400] as const;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Reads until the end, a break or the abort; what arrived counts. */
async function readAnswer(answer: Undici.Dispatcher.ResponseData): Promise<CallerView> {
  const chunks: Buffer[] = [];
  let isWhole = true;
  try {
    for await (const chunk of answer.body as AsyncIterable<Buffer>) chunks.push(chunk);
  } catch {
    isWhole = false;
  }
  // An answer without framing ends with its connection, and its end says nothing of its rest.
  const { 'content-length': length, 'transfer-encoding': coding } = answer.headers;
  const isFramed = length !== undefined || coding !== undefined;
  return {
    kind: 'answer',
    status: answer.statusCode,
    text: Buffer.concat(chunks).toString('utf8'),
    isWhole: isWhole && isFramed,
    isSigned: Standins.hasSignature(answer.headers),
  };
}

export function createCallers(options: CallersOptions) {
  const { routers, ledger, random, eventCount } = options;
  const agent = new Undici.Agent({ connections: 16, pipelining: 1 });
  let count = 0;

  function getRouter(index: number): RouterPlace {
    const router = routers[index];
    if (router === undefined) throw new Error(`there is no router ${index}`);
    return router;
  }

  async function sendRequest(request: SentRequest, leaveMs: number): Promise<CallerView> {
    const { id, kind, body, fromEvent } = request;
    const path = { stream: '/advice/x', order: '/orders/x', read: '/reads/x' }[kind];
    // A rest has the prompt of its stream.
    const [prompt = id] = id.split('.');
    const resumeAfter = fromEvent > 1 ? fromEvent - 1 : undefined;
    const stream = kind === 'stream' ? Standins.createStreamHeaders(prompt, resumeAfter) : {};
    ledger.requests.set(id, request);
    try {
      const answer = await Undici.request(
        `http://${getRouter(request.router).getAddress()}${path}`,
        {
          method: 'POST',
          dispatcher: agent,
          body,
          signal: AbortSignal.timeout(leaveMs),
          headers: {
            ...Standins.createCallerHeaders({
              requestId: id,
              apiKey: Configurations.CALLERS_KEY,
              limitMs: LIMIT_MS,
            }),
            ...stream,
          },
        },
      );
      return await readAnswer(answer);
    } catch {
      // Refused, reset, or out of time: nothing arrived that is an answer.
      return { kind: 'noAnswer' };
    }
  }

  /** A stream that broke off is asked for once more, from its last whole event, at another router. */
  function createRest(request: SentRequest, view: CallerView): SentRequest | undefined {
    if (request.kind !== 'stream' || view.kind !== 'answer' || view.isWhole) return undefined;
    if (request.id.includes('.')) return undefined;
    const received = [...view.text.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)].length;
    const fromEvent = request.fromEvent + received;
    if (fromEvent > eventCount || received === 0) return undefined;
    const router = (request.router + 1) % routers.length;
    return { ...request, id: `${request.id}.rest`, router, fromEvent };
  }

  async function runOne(): Promise<void> {
    count += 1;
    const kind = random.pickOne(['stream', 'stream', 'order', 'order', 'read'] as const);
    const router = random.pickBetween(0, routers.length - 1);
    const id = `r${count}`;
    const request = { id, kind, router, body: `body of ${id}`, fromEvent: 1 };
    const leaves = random.next() < LEAVE_SHARE;
    const view = await sendRequest(request, leaves ? random.pickBetween(...LEAVE_MS) : LIMIT_MS);
    ledger.views.set(id, view);
    const rest = leaves ? undefined : createRest(request, view);
    if (rest !== undefined) ledger.views.set(rest.id, await sendRequest(rest, LIMIT_MS));
  }

  async function sendProbe(
    router: number,
    asked: WrittenVersion,
    isNewest: boolean,
  ): Promise<void> {
    count += 1;
    const { version, writtenAtMs } = asked;
    const place = getRouter(router);
    const [life, atMs] = [place.getLife(), performance.now()];
    try {
      const answer = await Undici.request(
        `http://${place.getAddress()}${Configurations.formatVersionPath(version)}x`,
        {
          method: 'GET',
          dispatcher: agent,
          signal: AbortSignal.timeout(PROBE_LIMIT_MS),
          headers: Standins.createCallerHeaders({
            requestId: `probe-${count}`,
            apiKey: Configurations.formatVersionKey(version),
            limitMs: PROBE_LIMIT_MS,
          }),
        },
      );
      await answer.body.dump();
      // A newer version may have been written while it was asked.
      const isStill = isNewest && options.listVersions()[0]?.version === version;
      const status = answer.statusCode;
      if (place.getLife() !== life) return;
      ledger.probes.push({ router, life, atMs, version, writtenAtMs, isNewest: isStill, status });
    } catch {
      // The router is down or cut off, which tells nothing of its configuration.
    }
  }

  return {
    /** One caller: request after request until the signal is aborted. */
    async runCaller(signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        await runOne();
        await waitMs(random.pickBetween(...PAUSE_MS));
      }
    },
    async runProber(router: number, signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        const [newest, before] = options.listVersions();
        if (newest !== undefined) await sendProbe(router, newest, true);
        if (before !== undefined) await sendProbe(router, before, false);
        await waitMs(PROBE_PAUSE_MS);
      }
    },
    close: () => agent.destroy(),
  };
}
