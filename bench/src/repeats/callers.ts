/** Sends requests to a fleet while it is disturbed, and counts what its targets received. */
import * as Standins from '@sequoiarill/standins';
import * as Undici from 'undici';

import * as Outputs from '../output';
import * as Fleets from './fleet';
import type { Fleet, FleetOptions } from './fleet';
import type { Row } from './rows';
import * as Windows from './windows';
import type { LateLimits, SentRequest } from './windows';

export interface PlayOptions extends Omit<FleetOptions, 'hasTargetLinks' | 'hasRouterLinks'> {
  readonly perSecond: number;
}

type Answers = Readonly<Record<string, number>>;

export interface Summary extends LateLimits {
  readonly name: string;
  readonly sent: number;
  /** Requests by the status of their answers; `none` where none came. */
  readonly answers: Answers;
  readonly arrivals: number;
  readonly repeats: number;
  /** Largest number of repeats in a window, as a multiple of what the rule allows. */
  readonly worst: number;
  /** Largest number of repeats in a window, by arrivals at targets and by what all routers together have counted. */
  readonly mostRepeats: number;
  readonly mostCounted: number;
  /** Requests that reached more targets than their route allows. */
  readonly beyondTargets: number;
  /** Largest number of targets that one request reached. */
  readonly mostTargets: number;
  /** Largest number of arrivals of one request. */
  readonly mostArrivals: number;
  readonly beyondTime: number;
}

const PATHS = {
  streams: { method: 'POST', path: '/advice/x' },
  reads: { method: 'GET', path: '/reads/x' },
  orders: { method: 'POST', path: '/orders/x' },
} as const;
const MS_PER_SECOND = 1_000;
/** Windows before the disturbance: the second one of a process is the first in which it may use its whole share. */
const WINDOWS_BEFORE = 2;
const WINDOWS_AFTER = 2;

function createHeaders(
  { kind, limitMs }: Pick<FleetOptions, 'kind' | 'limitMs'>,
  id: string,
  organisation: string,
) {
  const apiKey = Fleets.formatKey(organisation);
  return {
    ...Standins.createCallerHeaders({ requestId: id, apiKey, limitMs }),
    ...(kind === 'streams' ? Standins.createStreamHeaders(`p${id}`) : {}),
  };
}

/** Sends until the signal is aborted. */
async function sendRequests(
  { routers }: Fleet,
  options: PlayOptions,
  sent: SentRequest[],
  signal: AbortSignal,
): Promise<Answers> {
  const { kind, limitMs, perSecond } = options;
  const agent = new Undici.Agent({ pipelining: 0, bodyTimeout: 0 });
  const sending: Promise<void>[] = [];
  const answers: Record<string, number> = {};

  async function sendOne(address: string, index: number): Promise<void> {
    const id = `r${index}`;
    const organisation = Fleets.ORGANISATIONS[index % Fleets.ORGANISATIONS.length] ?? '';
    sent.push({ id, atMs: performance.now() });
    const { method, path } = PATHS[kind];
    let status = 'none';
    try {
      const response = await Undici.request(`http://${address}${path}`, {
        method,
        dispatcher: agent,
        headers: createHeaders(options, id, organisation),
        signal: AbortSignal.timeout(limitMs),
      });
      await response.body.text();
      status = String(response.statusCode);
    } catch {
      // Its router has ended, or nothing came in time.
    }
    answers[status] = (answers[status] ?? 0) + 1;
  }

  const startMs = performance.now();
  for (let index = 0; !signal.aborted; index += 1) {
    const dueMs = startMs + (index * MS_PER_SECOND) / perSecond;
    const leftMs = dueMs - performance.now();
    if (leftMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, leftMs);
      });
    }
    const serving = routers.flatMap((router) => router.getAddress() ?? []);
    const address = serving[index % Math.max(1, serving.length)];
    if (address !== undefined) sending.push(sendOne(address, index));
  }
  await Promise.all(sending);
  await agent.destroy();
  return answers;
}

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export async function runRow(row: Row, options: PlayOptions): Promise<Summary> {
  const { kind, limitMs, rule } = options;
  const fleet = await Fleets.startFleet({
    ...options,
    hasTargetLinks: row.hasTargetLinks === true,
    hasRouterLinks: row.hasRouterLinks === true,
  });
  try {
    const faults = new AbortController();
    const failing = Fleets.runFaults(
      fleet,
      kind === 'streams' ? 'dieInStream' : 'loseAnswer',
      faults.signal,
    );
    const sent: SentRequest[] = [];
    const ended = new AbortController();
    const sending = sendRequests(fleet, options, sent, ended.signal);
    await waitMs(WINDOWS_BEFORE * rule.windowMs);
    await row.disturb(fleet);
    await waitMs(WINDOWS_AFTER * rule.windowMs);
    ended.abort();
    const answers = await sending;
    faults.abort();
    await failing;
    const arrivals = fleet.listArrivals();
    const repeats = Windows.listRepeatTimes(arrivals);
    const sentMs = sent.map(({ atMs }) => atMs);
    return {
      name: row.name,
      sent: sent.length,
      answers,
      arrivals: arrivals.length,
      repeats: repeats.length,
      worst: Outputs.computeRounded(Windows.computeWorstWindow(sentMs, repeats, rule), 3),
      mostRepeats: Windows.computeMostRepeats(repeats, rule.windowMs),
      mostCounted: Outputs.computeRounded(
        Windows.computeMostCounted(
          fleet.routers.flatMap(({ listCounts }, router) =>
            listCounts().map((count) => ({ ...count, router })),
          ),
          rule.windowMs,
        ),
        1,
      ),
      beyondTargets: Windows.countBeyondTargets(arrivals, options.maxTargets),
      mostTargets: Math.max(0, ...Windows.countTargets(arrivals)),
      mostArrivals: Windows.countMostArrivals(arrivals),
      beyondTime: Windows.countBeyondTime(arrivals, sent, limitMs),
      ...Windows.countLateLimits(arrivals, sent, limitMs),
    };
  } finally {
    await fleet.stop();
  }
}
