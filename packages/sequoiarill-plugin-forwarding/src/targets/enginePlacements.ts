/** Finds the engine for a run, and the keeper of its copy, by asking a few of them. */
import * as Decisions from '@sequoiarill/decisions';
import type { LatencyAdmissionDecision, EngineView } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Events from '../events';
import * as Placement from '../answers/placement';
import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import * as EngineAnswers from './engineAnswers';
import type { EngineAnswer } from './engineAnswers';

export interface EnginePair {
  /** Prompts that the target reads first. */
  readonly promptsAhead: number;
  /** Whether a new stream is worth sending there. */
  readonly admission: LatencyAdmissionDecision;
  readonly target: ForwardingTarget;
  readonly backup: ForwardingTarget | undefined;
}

/** Keepers of a copy among which one is drawn unasked, so that not all copies of a crash meet. */
const BACKUP_SAMPLE = 2;
/**
 * After a crash of a zone most of the first round may be dead. Where the best one that answered is busy,
 * no others are asked: callers that come back from a router that was lost look for their prompt among
 * the first few.
 */
const MAX_ROUNDS = 3;

export async function chooseEngines(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  excluded: ReadonlySet<string>,
): Promise<EnginePair | undefined> {
  dependencies.getPromptEstimates(request.service).recordRequest(request.promptTokens);
  const ready = Placement.listOpen(dependencies, request);
  const asked = new Set(excluded);
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const sample = sampleEngines(dependencies, request, ready, asked);
    sample.forEach(({ id }) => asked.add(id));
    const answers = await EngineAnswers.readAnswers(dependencies, request, sample);
    const views = answers.flatMap((answer) => addOwnSends(dependencies, answer));
    const pair = pickPair(dependencies, request, views, ready);
    if (pair !== undefined) {
      if (pair.admission.kind === 'admit') dependencies.registry.recordPlacement(pair.target);
      logPlaced(dependencies, request, { pair, views, answers, known: ready.length, round });
      return pair;
    }
  }
  return undefined;
}

interface PlacedLine {
  readonly pair: EnginePair;
  readonly views: readonly EngineView[];
  readonly answers: readonly EngineAnswer[];
  readonly known: number;
  readonly round: number;
}

function logPlaced(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  line: PlacedLine,
): void {
  const { pair, views, answers, known, round } = line;
  const view = views.find(({ id }) => id === pair.target.id);
  dependencies.log.logEvent(Events.STREAM_PLACED, {
    request: request.id,
    content: request.contentKey,
    target: pair.target.id,
    zone: pair.target.zone,
    backup: pair.backup?.id,
    queued: view?.queued,
    prefilling: view?.prefilling,
    running: view?.running,
    sentSince: view?.sentSince,
    usedTokens: view?.usedTokens,
    keptTokens: view?.keptTokens,
    asked: answers.length,
    answered: views.length,
    candidates: answers.map(formatCandidate),
    known,
    round,
  });
}

function computeWholeMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** What an engine said, and after how many milliseconds. */
function formatCandidate({ target, report, keptTokens, reportMs, keptMs }: EngineAnswer) {
  return {
    target: target.id,
    running: report?.running,
    keptTokens,
    reportMs: computeWholeMs(reportMs),
    keptMs: computeWholeMs(keptMs),
  };
}

/** The same line where no engine that was asked has answered, and one was chosen all the same. */
export function logUnasked(
  { log }: ForwardingDependencies,
  { id, contentKey }: ForwardRequest,
  target: ForwardingTarget,
): void {
  log.logEvent(Events.STREAM_PLACED, {
    request: id,
    content: contentKey,
    target: target.id,
    zone: target.zone,
    answered: 0,
  });
}

/**
 * Who is to keep the copy of a run that goes on at once, so that nobody is asked first; `lost` is the
 * keeper that is gone.
 */
export function chooseBackup(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  lost?: ForwardingTarget,
): ForwardingTarget | undefined {
  if (!hasBackups(dependencies, request)) return undefined;
  const others = listHolders(dependencies, request, target).filter(
    ({ id }) => id !== target.id && id !== lost?.id,
  );
  const trusted = others.filter((other) => !dependencies.registry.isSuspect(other));
  const pool = Decisions.selectCopyHolders(trusted, target.zone, dependencies.zone);
  // One of those that are asked for the prompt, so that a caller that comes back finds the copy's run.
  const [first, second] = Decisions.selectCandidates(
    pool,
    getPromptKey(request),
    () => BACKUP_SAMPLE,
  );
  return dependencies.nextRandom() < 0.5 ? (second ?? first) : first;
}

/** Whether some engine of this router's zone could keep a copy now. */
export function isHomeOpen(dependencies: ForwardingDependencies, request: ForwardRequest): boolean {
  return Placement.listOpen(dependencies, request).some(
    (engine) => engine.zone === dependencies.zone && !dependencies.registry.isSuspect(engine),
  );
}

/** A run goes on only where the same models are loaded: other ones would go on with other tokens. */
function listHolders(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { models }: ForwardingTarget,
): readonly ForwardingTarget[] {
  const open = Placement.listOpen(dependencies, request).filter((other) => other.models === models);
  if (open.length > 1) return open;
  // A version on probation may have one target for new work; the others can keep copies.
  const all = dependencies.directory.listTargets(request.service);
  return Decisions.selectAvailable(all, dependencies.registry.isSuspect).filter(
    (other) => other.models === models && !dependencies.rollouts.isLeaving(other),
  );
}

function hasBackups(dependencies: ForwardingDependencies, request: ForwardRequest): boolean {
  const service = dependencies.directory.getConfiguration()?.services.get(request.service);
  return service?.engine?.hasBackups === true && request.route.retryPolicy === 'resumable';
}

/** Some of each zone; those under suspicion only where nobody else is left. */
function sampleEngines(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  ready: readonly ForwardingTarget[],
  asked: ReadonlySet<string>,
): readonly ForwardingTarget[] {
  const fresh = ready.filter(({ id }) => !asked.has(id));
  const trusted = fresh.filter((target) => !dependencies.registry.isSuspect(target));
  const pool = trusted.length > 0 ? trusted : fresh;
  const zones = new Set(pool.map(({ zone }) => zone)).size;
  return Decisions.selectCandidates(pool, getPromptKey(request), (zone) =>
    Decisions.computeZoneSample(zone === dependencies.zone, zones),
  );
}

/** The last part is the caller's own, and the same when it comes back under another request id. */
function getPromptKey({ id, promptParts }: ForwardRequest): string {
  return promptParts.at(-1)?.id ?? id;
}

/**
 * None where it did not answer, or is leaving. To be called when all have answered: this router may have sent
 * there while it waited for others.
 */
function addOwnSends(
  { registry }: ForwardingDependencies,
  { target, report, keptTokens = 0 }: EngineAnswer,
): readonly EngineView[] {
  if (report === undefined || report.isLeaving) return [];
  const { sentSinceReport: sentSince } = registry.buildView(target);
  return [{ ...report, id: target.id, zone: target.zone, sentSince, keptTokens }];
}

function pickPair(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  views: readonly EngineView[],
  ready: readonly ForwardingTarget[],
): EnginePair | undefined {
  const { promptTokens } = request;
  const estimates = dependencies.getPromptEstimates(request.service);
  const placement = Decisions.chooseEngines({
    views,
    zone: dependencies.zone,
    promptTokens,
    usualPromptTokens: estimates.getMeanTokens(),
    prefillMsPerToken: estimates.getMsPerToken(),
  });
  const target = ready.find(({ id }) => id === placement?.target);
  if (placement === undefined || target === undefined) return undefined;
  const backup = hasBackups(dependencies, request)
    ? ready.find(({ id }) => id === placement.backup)
    : undefined;
  const { promptsAhead, firstEventMs } = placement;
  const { objectiveMs } = request.route;
  const admission = Decisions.decideStreamAdmission({ promptsAhead, firstEventMs, objectiveMs });
  return { target, backup, promptsAhead, admission };
}
