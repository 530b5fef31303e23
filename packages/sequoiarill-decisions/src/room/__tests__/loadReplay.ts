/** Replays a load in virtual time: routers with lines of their own before engines that order queues by rank. */
import * as Room from '../..';
import * as Random from '../../simulation/random';
import * as Timelines from '../../simulation/timeline';

const ROUTERS = 5;
const ENGINES = 12;
const QUERIED_ENGINES = 6;
const REPORT_AGE_MS = 100;
const ASK_INTERVAL_MS = 150;
const DIGEST_INTERVAL_MS = 2_000;
const CALLER_TIME_MS = 25_000;
const OBJECTIVE_MS = 4_000;
const OUTPUT_TOKENS = 900;
const TOTAL_TOKENS = 88_000;
const DECODE_MS = 2_600;
/** Callers that arrive after the counted time may be unanswered at the end. */
const COUNTED_MS = { from: 4_000, until: 30_000 };
const END_MS = 40_000;
/** Loads are read this often while streams are generated. */
const LOAD_STEP_MS = 100;

export interface ReplayOptions {
  readonly seed: number;
  readonly shape: {
    readonly slots: number;
    readonly promptTokens: number;
    readonly prefillMs: number;
  };
  /** Arrivals relative to what the engines can run, by level. */
  readonly computeLoads: (nowMs: number) => readonly number[];
  readonly organisationWeights?: readonly number[];
  /** A third of the engines is gone in this time. */
  readonly outage?: { readonly fromMs: number; readonly untilMs: number };
  /** Duration of work at a quarter of the engines, as a multiple. */
  readonly slowFactor?: number;
  readonly isSpeedKnown?: boolean;
}

const createCount = () => ({ arrived: 0, served: 0, inTime: 0, durationMs: 0 });

export type ReplayCount = ReturnType<typeof createCount>;

function createStream(organisation: number, level: number, router: number, decodeMs: number) {
  const firstEventAtMs: number | undefined = undefined as number | undefined;
  const waiter = undefined as Room.Waiter | undefined;
  const times = { decodeMs, arrivedAtMs: 0, attemptAtMs: 0, endsAtMs: 0, firstEventAtMs };
  return { organisation, level, router, rank: 0, isReturning: false, waiter, ...times };
}

type Stream = ReturnType<typeof createStream>;

function createEngine(name: string, slowness: number) {
  const report = { running: 0, queued: 0, prefilling: 0 };
  /** Routers of the streams that the report does not count yet. */
  const sent: number[] = [];
  const state = { running: [] as Stream[], queue: [] as Stream[], prefilledAtMs: 0 };
  return { name, slowness, isGone: false, report, sent, ...state };
}

type Engine = ReturnType<typeof createEngine>;

export function computeTotal(counts: readonly ReplayCount[], key: keyof ReplayCount): number {
  return counts.reduce((sum, count) => sum + count[key], 0);
}

export function simulateLoad(options: ReplayOptions) {
  const { slots, promptTokens, prefillMs } = options.shape;
  const usedPerRun = promptTokens + OUTPUT_TOKENS / 2;
  /** An engine's cache holds no more runs than these, whatever its slots. */
  const runsPerEngine = Math.min(slots, Math.floor(TOTAL_TOKENS / usedPerRun));
  const perEngineMs = Math.min(runsPerEngine / (prefillMs + DECODE_MS), 1 / prefillMs);
  const nextRandom = Random.createRandom(options.seed);
  const { addEvent, getNowMs, runUntil } = Timelines.createTimeline();
  const speeds = Room.createEngineSpeeds({ getNowMs });
  const demand = Room.createWorkRates();
  const started = Room.createWorkRates();
  const marker = Room.createShareMarker();
  const engines = Array.from({ length: ENGINES }, (_, index) =>
    createEngine(`engine-${index}`, index % 4 === 0 ? (options.slowFactor ?? 1) : 1),
  );
  const lines = Array.from({ length: ROUTERS }, () => Room.createWaitingLine({ getNowMs }));
  const getLine = ({ router }: Stream) => lines[router % ROUTERS] as Room.WaitingLine;
  const waiting = new Set<Stream>();
  const levels = [0, 1, 2].map(createCount);
  const organisations = [0, 1, 2].map(createCount);
  let fractions: ReadonlyMap<string, readonly number[]> = new Map();
  let extraSends = 0;
  let mostWaiting = 0;

  function updateCounts(stream: Stream, update: (count: ReplayCount) => void): void {
    const { arrivedAtMs, level, organisation } = stream;
    if (arrivedAtMs < COUNTED_MS.from || arrivedAtMs >= COUNTED_MS.until) return;
    [levels[level], organisations[organisation]].forEach((count) => count && update(count));
  }

  function startQueued(engine: Engine): void {
    engine.queue.sort((left, right) => left.rank - right.rank);
    for (const stream of engine.queue.splice(0, runsPerEngine - engine.running.length)) {
      const ownPrefillMs = prefillMs * engine.slowness;
      const isAlone = engine.prefilledAtMs <= getNowMs();
      if (isAlone) speeds.recordPrefill(engine.name, promptTokens, ownPrefillMs);
      engine.prefilledAtMs = Math.max(getNowMs(), engine.prefilledAtMs) + ownPrefillMs;
      stream.firstEventAtMs ??= engine.prefilledAtMs;
      const endsAtMs = engine.prefilledAtMs + stream.decodeMs * engine.slowness;
      stream.endsAtMs = endsAtMs;
      engine.running.push(stream);
      addEvent(engine.prefilledAtMs, () => reportState(engine));
      addEvent(endsAtMs, () => stream.endsAtMs === endsAtMs && recordEnd(engine, stream));
    }
    reportState(engine);
  }

  function reportState({ running, queue, report }: Engine): void {
    const prefilling = running.filter((stream) => (stream.firstEventAtMs ?? 0) > getNowMs());
    const counts = { running: running.length, queued: queue.length, prefilling: prefilling.length };
    addEvent(getNowMs() + REPORT_AGE_MS, () => Object.assign(report, counts));
  }

  function recordEnd(engine: Engine, stream: Stream): void {
    engine.running.splice(engine.running.indexOf(stream), 1);
    speeds.recordGapQuartile(engine.name, engine.slowness);
    const { arrivedAtMs, firstEventAtMs = 0 } = stream;
    updateCounts(stream, (count) => {
      count.served += 1;
      count.durationMs += getNowMs() - arrivedAtMs;
      if (firstEventAtMs - arrivedAtMs <= OBJECTIVE_MS) count.inTime += 1;
    });
    startQueued(engine);
    startWaiting(stream.router);
  }

  /** Decides by what the router knows: the engine's last report and its own sends since. */
  function decideAtEngine(engine: Engine, stream: Stream) {
    const { running, queued, prefilling } = engine.report;
    const sentSince = engine.sent.filter((router) => router === stream.router).length;
    const neededTokens = promptTokens + OUTPUT_TOKENS;
    const room = Room.computeEngineRoom({
      ...{ slots, running, queued, sentSince, copyTokens: 0 },
      ...{ totalTokens: TOTAL_TOKENS, usedTokens: running * usedPerRun },
      ...{ usualPromptTokens: promptTokens, usualOutputTokens: OUTPUT_TOKENS },
      sentTokens: sentSince * neededTokens,
    });
    const factor = options.isSpeedKnown === false ? 1 : speeds.getFactor(engine.name);
    const promptsAhead = prefilling + queued + sentSince;
    const slotWaitMs = Math.max(0, (1 - room.freeSlots) / slots) * (prefillMs + DECODE_MS);
    const firstEventMs = factor * ((promptsAhead + 1) * prefillMs + slotWaitMs);
    const waitedMs = getNowMs() - stream.attemptAtMs;
    const times = { waitedMs, objectiveMs: OBJECTIVE_MS, promptsAhead, firstEventMs };
    const { kind } = Room.decideEntry({ room, neededTokens, ...stream, ...times });
    const costMs = firstEventMs + factor * running * 40 + (kind === 'enter' ? 0 : 1e6);
    return { engine, kind, costMs };
  }

  /** A begun stream goes to the best engine, a new one only where there is room. */
  function sendToBest(stream: Stream): boolean {
    const [best] = engines
      .filter(({ isGone }) => !isGone)
      .map((engine) => ({ engine, order: nextRandom() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, QUERIED_ENGINES)
      .map(({ engine }) => decideAtEngine(engine, stream))
      .filter(({ kind }) => stream.firstEventAtMs !== undefined || kind !== 'wait')
      .sort((left, right) => left.costMs - right.costMs);
    if (best === undefined) return false;
    const { engine } = best;
    extraSends += 1;
    engine.sent.push(stream.router);
    addEvent(getNowMs() + REPORT_AGE_MS, () => engine.sent.shift());
    engine.queue.push(stream);
    startQueued(engine);
    return true;
  }

  function startStream(stream: Stream): void {
    const line = getLine(stream);
    if (stream.waiter === undefined || !line.isAskAllowed(stream.waiter)) return;
    if (!sendToBest(stream)) return;
    line.remove(stream.waiter);
    waiting.delete(stream);
    line.recordStart(stream.rank);
    started.recordWork(String(stream.organisation), stream.level, 1, getNowMs());
  }

  function startWaiting(router: number): void {
    [...waiting]
      .filter((stream) => stream.router === router)
      .map((stream) => ({
        stream,
        place: stream.waiter && getLine(stream).getPlace(stream.waiter),
      }))
      .sort((left, right) => (left.place ?? 0) - (right.place ?? 0))
      .forEach(({ stream }) => startStream(stream));
  }

  function refuseStream(stream: Stream, retryAfterMs: number): void {
    if (stream.isReturning) return;
    stream.isReturning = true;
    const leftMs = stream.arrivedAtMs + CALLER_TIME_MS - getNowMs();
    const waitMs = Room.computeRetryAfterMs(retryAfterMs, leftMs);
    addEvent(getNowMs() + waitMs, () => admitStream(stream));
  }

  function admitStream(stream: Stream): void {
    const line = getLine(stream);
    const { level, router, isReturning } = stream;
    const organisation = String(stream.organisation);
    demand.recordWork(organisation, level, 1, getNowMs());
    const fraction = fractions.get(organisation)?.[level] ?? 1;
    const isWithinShare = marker.markNext(`${router} ${organisation} ${level}`, fraction);
    const rank = Room.computeRank({ level, hasBegun: false, isWithinShare });
    const leftMs = stream.arrivedAtMs + CALLER_TIME_MS - getNowMs();
    const returningWaitMs = Math.min(leftMs / 2, OBJECTIVE_MS * 2);
    const maxWaitMs = isReturning ? returningWaitMs : OBJECTIVE_MS * 0.6 - prefillMs;
    const query = { rank, isReturning, maxWaitMs };
    const outcome = line.add(query);
    if (outcome.kind === 'refused') {
      refuseStream(stream, outcome.retryAfterMs);
      return;
    }
    const { waiter } = outcome;
    Object.assign(stream, { rank, waiter, attemptAtMs: getNowMs() });
    waiting.add(stream);
    startStream(stream);
    mostWaiting = Math.max(mostWaiting, line.count());
    addEvent(waiter.deadlineMs, () => {
      if (!line.remove(waiter)) return;
      waiting.delete(stream);
      refuseStream(stream, line.getRetryAfterMs(query));
    });
  }

  function failEngine(engine: Engine): void {
    engine.isGone = true;
    const nowMs = getNowMs();
    for (const stream of [...engine.running.splice(0), ...engine.queue.splice(0)]) {
      const { level, endsAtMs, firstEventAtMs = nowMs } = stream;
      const hasBegun = firstEventAtMs < nowMs;
      stream.endsAtMs = 0;
      if (hasBegun) {
        stream.decodeMs = (endsAtMs - nowMs) / engine.slowness;
        stream.rank = Room.computeRank({ level, hasBegun, isWithinShare: true });
        sendToBest(stream);
      } else {
        stream.firstEventAtMs = undefined;
        admitStream(stream);
      }
    }
    reportState(engine);
  }

  function addArrivals(level: number): void {
    for (let atMs = 0; atMs < END_MS;) {
      const perMs = (options.computeLoads(atMs)[level] ?? 0) * perEngineMs * ENGINES;
      const gapMs = Random.sampleExponential(nextRandom, 1 / perMs);
      atMs += Math.min(gapMs, LOAD_STEP_MS);
      if (gapMs > LOAD_STEP_MS) continue;
      const weights = options.organisationWeights ?? [1, 1, 1];
      const organisation = Random.sampleWeightedIndex(nextRandom, weights);
      const decodeMs = DECODE_MS * (0.7 + nextRandom() * 0.6);
      const router = Math.floor(nextRandom() * ROUTERS);
      const stream = createStream(organisation, level, router, decodeMs);
      stream.arrivedAtMs = atMs;
      extraSends -= 1;
      addEvent(atMs, () => admitStream(stream));
      updateCounts(stream, (count) => {
        count.arrived += 1;
      });
    }
  }

  /** Fractions of the true totals of the fleet, in force one interval later. */
  function updateFractions(): void {
    const list = (rates: Room.WorkRates) => rates.listRates(getNowMs());
    const work = list(demand).map(({ organisation, rates }) => ({ organisation, demand: rates }));
    const capacity = list(started)
      .flatMap(({ rates }) => rates)
      .reduce((sum, rate) => sum + rate, 0);
    const next = Room.computeShareFractions(work, capacity);
    addEvent(getNowMs() + DIGEST_INTERVAL_MS, () => {
      fractions = next;
      updateFractions();
    });
  }

  levels.forEach((_, level) => addArrivals(level));
  for (let atMs = 0; atMs < END_MS; atMs += ASK_INTERVAL_MS) {
    lines.forEach((_, router) => addEvent(atMs + router * 30, () => startWaiting(router)));
  }
  addEvent(DIGEST_INTERVAL_MS, updateFractions);
  const { fromMs, untilMs } = options.outage ?? { fromMs: 0, untilMs: 0 };
  for (const engine of options.outage === undefined ? [] : engines.slice(0, ENGINES / 3)) {
    addEvent(fromMs, () => failEngine(engine));
    addEvent(untilMs, () => Object.assign(engine, { isGone: false }));
  }
  runUntil(END_MS);

  const countedMs = COUNTED_MS.until - COUNTED_MS.from - (untilMs - fromMs) / 3;
  const capacity = engines.reduce((sum, { slowness }) => sum + perEngineMs / slowness, 0);
  const possible = Math.min(computeTotal(levels, 'arrived'), capacity * countedMs);
  const servedOfPossible = computeTotal(levels, 'served') / possible;
  return { levels, organisations, servedOfPossible, extraSends, mostWaiting };
}
