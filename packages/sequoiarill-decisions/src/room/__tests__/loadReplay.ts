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
const EVENT_GAP_MS = 20;
const MEAN_DECODE_MS = 130 * EVENT_GAP_MS;
const END_MS = 40_000;
const COUNTED_FROM_MS = 4_000;
/** Callers that arrive later may be unanswered at the end. */
const COUNTED_UNTIL_MS = 30_000;
const EMPTY_REPORT = { running: 0, queued: 0, prefilling: 0 };
/** Loads are read this often while streams are generated. */
const LOAD_STEP_MS = 100;

export interface EngineShape {
  readonly slots: number;
  readonly promptTokens: number;
  readonly prefillMs: number;
}

export const SMALL_ENGINES: EngineShape = { slots: 6, promptTokens: 1_000, prefillMs: 125 };

export interface ReplayOptions {
  readonly shape?: EngineShape;
  readonly seed: number;
  /** Arrivals relative to what the engines can run, by level. */
  readonly computeLoads: (nowMs: number) => readonly number[];
  readonly organisationWeights?: readonly number[];
  /** A third of the engines is gone in this time. */
  readonly outage?: { readonly fromMs: number; readonly untilMs: number };
  /** Duration of work at a quarter of the engines, as a multiple. */
  readonly slowFactor?: number;
  readonly isSpeedKnown?: boolean;
}

interface Stream {
  readonly organisation: number;
  readonly level: number;
  readonly arrivedAtMs: number;
  readonly router: number;
  decodeMs: number;
  attemptAtMs: number;
  isReturning: boolean;
  rank: number;
  firstEventAtMs?: number;
  endsAtMs: number;
}

function createEngine(index: number, slowness: number) {
  const running: Stream[] = [];
  const queue: Stream[] = [];
  const history: { atMs: number; running: number; queued: number; prefilling: number }[] = [];
  const sent: { atMs: number; router: number }[] = [];
  const name = `engine-${index}`;
  return { name, slowness, isGone: false, running, queue, prefilledAtMs: 0, history, sent };
}

type Engine = ReturnType<typeof createEngine>;

function createCount() {
  return { arrived: 0, served: 0, inTime: 0, firstEventMs: 0, durationMs: 0 };
}

export type ReplayCount = ReturnType<typeof createCount>;

export function simulateLoad(options: ReplayOptions) {
  const { slots, promptTokens, prefillMs } = options.shape ?? SMALL_ENGINES;
  const runMs = prefillMs + MEAN_DECODE_MS;
  const usedPerRun = promptTokens + OUTPUT_TOKENS / 2;
  /** An engine's cache holds no more runs than these, whatever its slots. */
  const runsPerEngine = Math.min(slots, Math.floor(TOTAL_TOKENS / usedPerRun));
  const capacityPerMs = ENGINES * Math.min(runsPerEngine / runMs, 1 / prefillMs);
  const nextRandom = Random.createRandom(options.seed);
  const { addEvent, getNowMs, runUntil } = Timelines.createTimeline();
  const speeds = Room.createEngineSpeeds({ getNowMs });
  const demand = Room.createWorkRates();
  const started = Room.createWorkRates();
  const marker = Room.createShareMarker();
  const engines = Array.from({ length: ENGINES }, (_, index) =>
    createEngine(index, index % 4 === 0 ? (options.slowFactor ?? 1) : 1),
  );
  const lines = Array.from({ length: ROUTERS }, () => Room.createWaitingLine({ getNowMs }));
  const waiting = lines.map(() => new Map<Room.Waiter, Stream>());
  const levels = [0, 1, 2].map(createCount);
  const organisations = [0, 1, 2].map(createCount);
  let fractions: ReadonlyMap<string, readonly number[]> = new Map();
  let arrivals = 0;
  let sends = 0;
  let mostWaiting = 0;

  function updateCounts(stream: Stream, update: (count: ReplayCount) => void): void {
    const { arrivedAtMs } = stream;
    if (arrivedAtMs < COUNTED_FROM_MS || arrivedAtMs >= COUNTED_UNTIL_MS) return;
    for (const count of [levels[stream.level], organisations[stream.organisation]]) {
      if (count !== undefined) update(count);
    }
  }

  function recordState({ running, queue, history }: Engine): void {
    const atMs = getNowMs();
    const prefilling = running.filter(({ firstEventAtMs = 0 }) => firstEventAtMs > atMs).length;
    history.push({ atMs, running: running.length, queued: queue.length, prefilling });
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
      addEvent(engine.prefilledAtMs, () => recordState(engine));
      addEvent(endsAtMs, () => {
        if (stream.endsAtMs === endsAtMs) recordEnd(engine, stream);
      });
    }
    recordState(engine);
  }

  function recordEnd(engine: Engine, stream: Stream): void {
    engine.running.splice(engine.running.indexOf(stream), 1);
    speeds.recordGapQuartile(engine.name, EVENT_GAP_MS * engine.slowness);
    const firstEventMs = (stream.firstEventAtMs ?? 0) - stream.arrivedAtMs;
    updateCounts(stream, (count) => {
      count.served += 1;
      count.firstEventMs += firstEventMs;
      count.durationMs += getNowMs() - stream.arrivedAtMs;
      if (firstEventMs <= OBJECTIVE_MS) count.inTime += 1;
    });
    startQueued(engine);
    startWaiting(stream.router);
  }

  /** Decides by what the router knows: the engine's last report and its own sends since. */
  function decideAtEngine(engine: Engine, stream: Stream) {
    const reportedAtMs = getNowMs() - REPORT_AGE_MS;
    while ((engine.history[1]?.atMs ?? Infinity) <= reportedAtMs) engine.history.shift();
    const { running, queued, prefilling } = engine.history[0] ?? EMPTY_REPORT;
    const sentSince = engine.sent.filter(
      ({ atMs, router }) => atMs > reportedAtMs && router === stream.router,
    ).length;
    const neededTokens = promptTokens + OUTPUT_TOKENS;
    const room = Room.computeEngineRoom({
      ...{ slots, running, queued, sentSince, copyTokens: 0 },
      ...{ totalTokens: TOTAL_TOKENS, usedTokens: running * usedPerRun },
      ...{ usualPromptTokens: promptTokens, usualOutputTokens: OUTPUT_TOKENS },
      sentTokens: sentSince * neededTokens,
    });
    const factor = options.isSpeedKnown === false ? 1 : speeds.getFactor(engine.name);
    const promptsAhead = prefilling + queued + sentSince;
    const slotWaitMs = Math.max(0, (1 - room.freeSlots) / slots) * runMs;
    const firstEventMs = factor * ((promptsAhead + 1) * prefillMs + slotWaitMs);
    const { rank, level } = stream;
    const waitedMs = getNowMs() - stream.attemptAtMs;
    const times = { waitedMs, objectiveMs: OBJECTIVE_MS, promptsAhead, firstEventMs };
    const { kind } = Room.decideEntry({ room, neededTokens, rank, level, ...times });
    const costMs = firstEventMs + factor * running * 40 + (kind === 'enter' ? 0 : 1e6);
    return { engine, kind, costMs };
  }

  function sendToBest(stream: Stream): boolean {
    const queried = engines
      .filter(({ isGone }) => !isGone)
      .map((engine) => ({ engine, order: nextRandom() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, QUERIED_ENGINES)
      .map(({ engine }) => decideAtEngine(engine, stream))
      .filter(({ kind }) => stream.firstEventAtMs !== undefined || kind !== 'wait')
      .sort((left, right) => left.costMs - right.costMs);
    const engine = queried[0]?.engine;
    if (engine === undefined) return false;
    sends += 1;
    engine.sent.push({ atMs: getNowMs(), router: stream.router });
    engine.queue.push(stream);
    startQueued(engine);
    return true;
  }

  /** Sends a new stream if an engine has room for it. */
  function startStream(stream: Stream): boolean {
    if (!sendToBest(stream)) return false;
    lines[stream.router]?.recordStart(stream.rank);
    started.recordWork(String(stream.organisation), stream.level, 1, getNowMs());
    return true;
  }

  function startWaiting(router: number): void {
    const line = lines[router];
    const asking = [...(waiting[router] ?? [])]
      .filter(([waiter]) => line?.isAskAllowed(waiter))
      .sort(([left], [right]) => (line?.getPlace(left) ?? 0) - (line?.getPlace(right) ?? 0));
    for (const [waiter, stream] of asking) {
      if (startStream(stream)) line?.remove(waiter);
      if (line?.getPlace(waiter) === undefined) waiting[router]?.delete(waiter);
    }
  }

  function refuseStream(stream: Stream, retryAfterMs: number): void {
    const leftMs = stream.arrivedAtMs + CALLER_TIME_MS - getNowMs();
    if (stream.isReturning) return;
    stream.isReturning = true;
    const atMs = getNowMs() + Room.computeRetryAfterMs(retryAfterMs, leftMs);
    addEvent(atMs, () => admitStream(stream));
  }

  function markStream(stream: Stream): void {
    const { level, router } = stream;
    const organisation = String(stream.organisation);
    demand.recordWork(organisation, level, 1, getNowMs());
    const fraction = fractions.get(organisation)?.[level] ?? 1;
    const isWithinShare = marker.markNext(`${router} ${organisation} ${level}`, fraction);
    stream.rank = Room.computeRank({ level, hasBegun: false, isWithinShare });
  }

  function admitStream(stream: Stream): void {
    const line = lines[stream.router] ?? Room.createWaitingLine({ getNowMs });
    stream.attemptAtMs = getNowMs();
    markStream(stream);
    const leftMs = stream.arrivedAtMs + CALLER_TIME_MS - getNowMs();
    const returningWaitMs = Math.min(leftMs / 2, OBJECTIVE_MS * 2);
    const { rank, isReturning } = stream;
    const maxWaitMs = isReturning ? returningWaitMs : OBJECTIVE_MS * 0.6 - prefillMs;
    const outcome = line.add({ rank, isReturning, maxWaitMs });
    if (outcome.kind === 'refused') {
      refuseStream(stream, outcome.retryAfterMs);
      return;
    }
    const { waiter } = outcome;
    if (line.isAskAllowed(waiter) && startStream(stream)) {
      line.remove(waiter);
      return;
    }
    waiting[stream.router]?.set(waiter, stream);
    mostWaiting = Math.max(mostWaiting, line.count());
    addEvent(waiter.deadlineMs, () => {
      if (!line.remove(waiter)) return;
      waiting[stream.router]?.delete(waiter);
      refuseStream(stream, line.getRetryAfterMs({ rank, isReturning, maxWaitMs }));
    });
  }

  function failEngine(engine: Engine): void {
    engine.isGone = true;
    const nowMs = getNowMs();
    for (const stream of [...engine.running.splice(0), ...engine.queue.splice(0)]) {
      const hasBegun = (stream.firstEventAtMs ?? nowMs) < nowMs;
      const { level, endsAtMs } = stream;
      stream.endsAtMs = 0;
      if (hasBegun) {
        stream.decodeMs = (endsAtMs - nowMs) / engine.slowness;
        stream.rank = Room.computeRank({ level, hasBegun, isWithinShare: true });
        sendToBest(stream);
      } else {
        delete stream.firstEventAtMs;
        admitStream(stream);
      }
    }
    recordState(engine);
  }

  function addArrivals(level: number): void {
    for (let atMs = 0; atMs < END_MS;) {
      const perMs = (options.computeLoads(atMs)[level] ?? 0) * capacityPerMs;
      const gapMs = Random.sampleExponential(nextRandom, 1 / perMs);
      atMs += Math.min(gapMs, LOAD_STEP_MS);
      if (gapMs > LOAD_STEP_MS) continue;
      const weights = options.organisationWeights ?? [1, 1, 1];
      const organisation = Random.sampleWeightedIndex(nextRandom, weights);
      const router = Math.floor(nextRandom() * ROUTERS);
      const decodeMs = MEAN_DECODE_MS * (0.7 + nextRandom() * 0.6);
      const stream: Stream = {
        ...{ organisation, level, router, decodeMs, arrivedAtMs: atMs, attemptAtMs: atMs },
        ...{ isReturning: false, rank: 0, endsAtMs: 0 },
      };
      arrivals += 1;
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
    const capacity = list(started).reduce((sum, { rates }) => sum + computeSum(rates), 0);
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
    addEvent(untilMs, () => {
      engine.isGone = false;
    });
  }
  runUntil(END_MS);

  const countedMs = COUNTED_UNTIL_MS - COUNTED_FROM_MS - (untilMs - fromMs) / 3;
  const speed = computeSum(engines.map(({ slowness }) => 1 / slowness)) / ENGINES;
  const possible = Math.min(computeTotal(levels, 'arrived'), speed * capacityPerMs * countedMs);
  const servedOfPossible = computeTotal(levels, 'served') / possible;
  return { levels, organisations, servedOfPossible, arrivals, sends, mostWaiting };
}

function computeSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

export function computeTotal(counts: readonly ReplayCount[], key: keyof ReplayCount): number {
  return computeSum(counts.map((count) => count[key]));
}
