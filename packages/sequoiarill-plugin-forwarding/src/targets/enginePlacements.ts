/**
 * Chooses the engine for a run and the holder of its KV cache copy from the status of a few sampled
 * engines.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Placement from '../answers/placement';
import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import * as EnginePairs from './enginePairs';
import type { EnginePair, EntryTerms } from './enginePairs';
import * as EngineStatuses from './engineStatuses';
import * as EngineViews from './engineViews';
import * as PlacementLog from './placementLog';

/**
 * Engines among which the holder of a copy is drawn at random, without a query. With one candidate
 * alone, all streams that move after a crash would copy to the same engine.
 */
const BACKUP_SAMPLE_SIZE = 2;
/**
 * After the crash of a zone most engines of the first sample may be down, so further samples are
 * taken until one responds. A busy engine is no reason for another round: callers that resume a
 * stream of a lost router look for their prompt among the engines of the first sample. Only a new
 * stream that would have to wait takes a second sample, once.
 */
const MAX_ROUNDS = 3;

export async function chooseEngines(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  excluded: ReadonlySet<string>,
  terms?: EntryTerms,
): Promise<EnginePair | undefined> {
  dependencies.getPromptEstimates(request.service).recordRequest(request.promptTokens);
  const available = Placement.listAvailable(dependencies, request);
  const queried = new Set(excluded);
  let full: EnginePair | undefined;
  // Routers do not know the ranks of those that wait at an engine; they are taken to be of all levels alike.
  const queueShare = terms === undefined ? 1 : (terms.level + 1) / Decisions.MAX_LEVELS;
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const sample = sampleEngines(dependencies, request, available, queried);
    sample.forEach(({ id }) => queried.add(id));
    const statuses = await EngineStatuses.readStatuses(dependencies, request, sample);
    // Some may have become unavailable meanwhile, by what they said in these very responses.
    const stillAvailable = Placement.listAvailable(dependencies, request);
    const availableIds = new Set(stillAvailable.map(({ id }) => id));
    const isScarce = EngineViews.createScarcityCheck(request, stillAvailable);
    const views = statuses
      .filter(({ target }) => availableIds.has(target.id))
      .flatMap((status) =>
        EngineViews.buildEngineViews(dependencies, status, isScarce, queueShare),
      );
    const pair = EnginePairs.pickPair(dependencies, request, {
      views,
      available: stillAvailable,
      terms,
    });
    if (pair?.entry?.kind === 'wait') {
      if (full !== undefined || terms?.hasAsked === true) return full ?? pair;
      full = pair;
    } else if (pair !== undefined) {
      recordPlacement(dependencies, request, pair);
      PlacementLog.logPlacement(dependencies, request, {
        pair,
        views,
        statuses,
        known: available.length,
        round,
      });
      return pair;
    }
  }
  return full;
}

function recordPlacement(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { target, admission, entry }: EnginePair,
): void {
  if (entry === undefined && admission.kind !== 'admit') return;
  dependencies.registry.recordPlacement(
    target,
    EnginePairs.countNeededTokens(dependencies, request),
  );
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
  if (!EnginePairs.hasBackups(dependencies, request)) return undefined;
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

/**
 * Samples some engines of each zone; suspected ones only where no others are left. The engine that may have the prompt of
 * a resumed stream is among the first.
 */
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
  const candidates = Decisions.selectCandidates(pool, getPromptKey(request), (zone) =>
    Decisions.computeZoneSampleSize(zone === dependencies.zone, zones),
  );
  const holder = pool.find(({ id }) => id === request.promptHolder);
  return holder === undefined || candidates.includes(holder) ? candidates : [holder, ...candidates];
}

/**
 * The last part is specific to the caller, and the same when it resumes under another request id.
 */
function getPromptKey({ id, promptParts }: ForwardRequest): string {
  return promptParts.at(-1)?.id ?? id;
}
