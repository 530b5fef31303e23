/**
 * Chooses the engine for a run and the holder of its KV cache copy from the status of a few sampled
 * engines.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { LatencyAdmissionDecision, EngineView } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Events from '../events';
import * as Placement from '../answers/placement';
import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import * as EngineStatuses from './engineStatuses';
import type { EngineStatus } from './engineStatuses';

export interface EnginePair {
  /** Prompts that the target prefills before this one. */
  readonly promptsAhead: number;
  /** Whether a new stream should be admitted there. */
  readonly admission: LatencyAdmissionDecision;
  readonly target: ForwardingTarget;
  readonly backup: ForwardingTarget | undefined;
}

/**
 * Engines among which the holder of a copy is drawn at random, without a query. With one candidate
 * alone, all streams that move after a crash would copy to the same engine.
 */
const BACKUP_SAMPLE_SIZE = 2;
/**
 * After the crash of a zone most engines of the first sample may be down, so further samples are
 * taken until one responds. A busy engine is no reason for another round: callers that resume a
 * stream of a lost router look for their prompt among the engines of the first sample.
 */
const MAX_ROUNDS = 3;

export async function chooseEngines(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  excluded: ReadonlySet<string>,
): Promise<EnginePair | undefined> {
  dependencies.getPromptEstimates(request.service).recordRequest(request.promptTokens);
  const available = Placement.listAvailable(dependencies, request);
  const queried = new Set(excluded);
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const sample = sampleEngines(dependencies, request, available, queried);
    sample.forEach(({ id }) => queried.add(id));
    const statuses = await EngineStatuses.readStatuses(dependencies, request, sample);
    // Some may have become unavailable meanwhile, by what they said in these very responses.
    const stillAvailable = Placement.listAvailable(dependencies, request);
    const availableIds = new Set(stillAvailable.map(({ id }) => id));
    const isScarce = createScarcityCheck(request, stillAvailable);
    const views = statuses
      .filter(({ target }) => availableIds.has(target.id))
      .flatMap((status) => buildEngineViews(dependencies, status, isScarce));
    const pair = pickPair(dependencies, request, views, stillAvailable);
    if (pair !== undefined) {
      if (pair.admission.kind === 'admit') dependencies.registry.recordPlacement(pair.target);
      logPlacement(dependencies, request, {
        pair,
        views,
        statuses,
        known: available.length,
        round,
      });
      return pair;
    }
  }
  return undefined;
}

interface PlacementLogEntry {
  readonly pair: EnginePair;
  readonly views: readonly EngineView[];
  readonly statuses: readonly EngineStatus[];
  /** Engines that the sample was taken from. */
  readonly known: number;
  readonly round: number;
}

function logPlacement(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  logEntry: PlacementLogEntry,
): void {
  const { pair, views, statuses, known, round } = logEntry;
  const view = views.find(({ id }) => id === pair.target.id);
  dependencies.log.logEvent(Events.STREAM_PLACED, {
    request: request.id,
    content: request.contentKey,
    target: pair.target.id,
    targetVersion: pair.target.version,
    zone: pair.target.zone,
    backup: pair.backup?.id,
    queued: view?.queued,
    prefilling: view?.prefilling,
    running: view?.running,
    sentSince: view?.sentSince,
    usedTokens: view?.usedTokens,
    keptTokens: view?.keptTokens,
    asked: statuses.length,
    answered: views.length,
    candidates: statuses.map(formatCandidate),
    known,
    round,
  });
}

function computeRoundedMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** What an engine reported, and after how many milliseconds. */
function formatCandidate({ target, report, cachedTokens, reportMs, cachedPartsMs }: EngineStatus) {
  return {
    target: target.id,
    running: report?.running,
    keptTokens: cachedTokens,
    reportMs: computeRoundedMs(reportMs),
    keptMs: computeRoundedMs(cachedPartsMs),
  };
}

/**
 * Logs a placement where no sampled engine responded, so the target was chosen without a status.
 */
export function logUnreportedTarget(
  { log }: ForwardingDependencies,
  { id, contentKey }: ForwardRequest,
  target: ForwardingTarget,
): void {
  log.logEvent(Events.STREAM_PLACED, {
    request: id,
    content: contentKey,
    target: target.id,
    targetVersion: target.version,
    zone: target.zone,
    answered: 0,
  });
}

/**
 * Chooses the holder of the next copy without querying engines, since the run continues at once.
 * `lostHolder` is the previous holder, which is excluded.
 */
export function chooseBackup(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  lostHolder?: ForwardingTarget,
): ForwardingTarget | undefined {
  if (!hasBackups(dependencies, request)) return undefined;
  const others = Placement.listAvailable(dependencies, {
    ...request,
    build: Decisions.getBuild(target),
  }).filter(({ id }) => id !== target.id && id !== lostHolder?.id);
  const unsuspected = others.filter((other) => !dependencies.registry.isSuspect(other));
  const pool = Decisions.selectCopyHolders(unsuspected, target.zone, dependencies.zone);
  // One of the engines that are queried for this prompt, so that a caller that resumes the stream
  // finds its prompt there.
  const [first, second] = Decisions.selectCandidates(
    pool,
    getPromptKey(request),
    () => BACKUP_SAMPLE_SIZE,
  );
  return dependencies.nextRandom() < 0.5 ? (second ?? first) : first;
}

/** Whether some engine of the local zone could hold a copy of a run of the engine now. */
export function isLocalEngineAvailable(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  run: ForwardingTarget,
): boolean {
  const build = Decisions.getBuild(run);
  return Placement.listAvailable(dependencies, { ...request, build }).some(
    (engine) => engine.zone === dependencies.zone && !dependencies.registry.isSuspect(engine),
  );
}

function hasBackups(dependencies: ForwardingDependencies, request: ForwardRequest): boolean {
  const service = dependencies.directory.getConfiguration()?.services.get(request.service);
  return service?.engine?.hasBackups === true && request.route.retryPolicy === 'resumable';
}

/** Samples some engines of each zone; suspected ones only where no others are left. */
function sampleEngines(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  available: readonly ForwardingTarget[],
  queried: ReadonlySet<string>,
): readonly ForwardingTarget[] {
  const unqueried = available.filter(({ id }) => !queried.has(id));
  const unsuspected = unqueried.filter((target) => !dependencies.registry.isSuspect(target));
  const pool = unsuspected.length > 0 ? unsuspected : unqueried;
  const zones = new Set(pool.map(({ zone }) => zone)).size;
  return Decisions.selectCandidates(pool, getPromptKey(request), (zone) =>
    Decisions.computeZoneSampleSize(zone === dependencies.zone, zones),
  );
}

/**
 * The last part is specific to the caller, and the same when it resumes under another request id.
 */
function getPromptKey({ id, promptParts }: ForwardRequest): string {
  return promptParts.at(-1)?.id ?? id;
}

/**
 * Adds this router's own sends to an engine's report; empty where there is no report, or the engine
 * is leaving. Must be called after all responses: the router may have sent requests there in the
 * meantime.
 */
function buildEngineViews(
  { registry, brittle }: ForwardingDependencies,
  { target, report, cachedTokens = 0 }: EngineStatus,
  isScarce: (target: ForwardingTarget) => boolean,
): readonly EngineView[] {
  if (report === undefined || report.isLeaving) return [];
  const { sentSinceReport: sentSince } = registry.buildView(target);
  const taken = report.running + report.queued + sentSince;
  // A brittle engine must not have to reject the request.
  if (brittle.isBrittle(target.service) && taken >= target.slots) return [];
  const { id, zone } = target;
  const view = { ...report, id, zone, sentSince, keptTokens: cachedTokens };
  return [{ ...view, isScarce: isScarce(target) }];
}

/** A stream that has begun has no choice between builds. */
function createScarcityCheck(
  { build }: ForwardRequest,
  available: readonly ForwardingTarget[],
): (target: ForwardingTarget) => boolean {
  const [first] = available;
  const isOfFirst = (target: ForwardingTarget): boolean =>
    target.version === first?.version && target.models === first.models;
  if (build !== undefined || available.every(isOfFirst)) return () => false;
  const counts = new Map<string, number>();
  const formatKey = ({ version, models }: ForwardingTarget) => `${version}\n${models}`;
  for (const target of available) {
    const key = formatKey(target);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const most = Math.max(...counts.values());
  return (target) => Decisions.isScarceBuild(counts.get(formatKey(target)) ?? 0, most);
}

function hasSameBuild(
  left: ForwardingTarget | undefined,
  right: ForwardingTarget | undefined,
): boolean {
  if (left === undefined || right === undefined) return false;
  return Decisions.isSameBuild(Decisions.getBuild(left), Decisions.getBuild(right));
}

function pickPair(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  views: readonly EngineView[],
  available: readonly ForwardingTarget[],
): EnginePair | undefined {
  const { promptTokens } = request;
  const estimates = dependencies.getPromptEstimates(request.service);
  const byId = new Map(available.map((target) => [target.id, target]));
  const placement = Decisions.chooseEngines({
    views,
    isSameBuild: (left, right) => hasSameBuild(byId.get(left), byId.get(right)),
    zone: dependencies.zone,
    promptTokens,
    usualPromptTokens: estimates.getMeanTokens(),
    prefillMsPerToken: estimates.getMsPerToken(),
  });
  const target = byId.get(placement?.target ?? '');
  if (placement === undefined || target === undefined) return undefined;
  const backup = hasBackups(dependencies, request) ? byId.get(placement.backup ?? '') : undefined;
  const { promptsAhead, firstEventMs } = placement;
  const { objectiveMs } = request.route;
  const admission = Decisions.decideStreamAdmission({ promptsAhead, firstEventMs, objectiveMs });
  return { target, backup, promptsAhead, admission };
}
