/**
 * Evaluates a roll-out for all routers and writes its next step to the store.
 *
 * There is no leader election. Every router can evaluate, and the first reachable one in rank order does. A
 * step is written on condition that the order and the previous state in the store are unchanged, so two
 * routers that evaluate at the same time cannot both write it.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { DecideRolloutStep, RolloutLimits, RolloutStep } from '@sequoiarill/decisions';
import type {
  Clock,
  Directory,
  ForwardingWire,
  KeyValueEntry,
  KeyValueStore,
  LogEvent,
  RolloutPhase,
  RolloutStatus,
} from '@sequoiarill/types';

import * as Events from './events';
import * as LocalRolloutStates from './localRolloutState';
import type { LocalRolloutState } from './localRolloutState';
import * as RolloutRecords from './rolloutRecord';
import type { RolloutRecord } from './rolloutRecord';
import type { RolloutView, ObservedOrder, ObservedRecord } from './rolloutViews';

export interface RolloutEvaluatorOptions {
  readonly store: Pick<KeyValueStore, 'writeTransaction'>;
  readonly directory: Pick<Directory, 'getConfiguration' | 'listTargets' | 'recordEntry'>;
  readonly wire: ForwardingWire;
  readonly recordPrefix: string;
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly logEvent: LogEvent;
  readonly limits: RolloutLimits;
  readonly decideStep: DecideRolloutStep;
  readonly countRouters: () => number;
  /** Interval between two reports of a router, milliseconds. */
  readonly getReportIntervalMs: () => number;
}

/**
 * Report intervals after which a router without a new report is no longer counted, neither for the quorum nor
 * for the in-flight requests at targets that get no new ones.
 */
const RECENT_REPORT_INTERVALS = 3;
/**
 * A step forward needs recent reports from more than this share of the known routers, so that of two
 * evaluators at most one can take it.
 */
const QUORUM_SHARE = 0.5;

function formatState(phase: RolloutPhase): RolloutStatus['state'] {
  return phase === 'completed' || phase === 'rolledBack' ? phase : 'inProgress';
}

export function createRolloutEvaluator(options: RolloutEvaluatorOptions) {
  const { store, directory, wire, clock, logEvent } = options;
  /** Revisions of states in the store that this router had recorded under another revision. */
  const storedRevisions = new Map<string, { readonly known: number; readonly stored: number }>();

  function getStoredRevision(key: string, record: ObservedRecord | undefined): number {
    const known = record?.revision ?? 0;
    const other = storedRevisions.get(key);
    return other?.known === known ? other.stored : known;
  }

  /**
   * Failure: a store that gives each key of a transaction its own revision returns only the last one. The
   * state is then recorded under a wrong revision, and the store refuses every further step.
   */
  function recordConflict(
    key: string,
    record: ObservedRecord | undefined,
    current: readonly KeyValueEntry[],
  ): void {
    const entry = current.find((one) => one.key === key);
    if (entry === undefined) return;
    if (RolloutRecords.isSameState(RolloutRecords.decodeRecord(entry.value), record)) {
      storedRevisions.set(key, { known: record?.revision ?? 0, stored: entry.revision });
    } else directory.recordEntry(entry);
  }

  function checkNewTargets({ service, split }: RolloutView, localState: LocalRolloutState) {
    const targets = directory
      .listTargets(service)
      .filter(({ version, state }) => version === split.toVersion && state === 'ready');
    const assessment = Decisions.computeRolloutAssessment(
      localState.reports.listTallies(),
      targets.length,
    );
    localState.avoided = new Set([...localState.avoided, ...assessment.avoided]);
    return { assessment, targetCount: targets.length };
  }

  function buildSituation(view: RolloutView, order: ObservedOrder, localState: LocalRolloutState) {
    const { service, split, record } = view;
    const nowMs = clock.getNowMs();
    const recentReports = localState.reports.listSince(
      nowMs - RECENT_REPORT_INTERVALS * options.getReportIntervalMs(),
    );
    const { assessment, targetCount } = checkNewTargets(view, localState);
    const engine = directory.getConfiguration()?.services.get(service)?.engine;
    return {
      phase: split.phase,
      share: split.share,
      elapsedMs: LocalRolloutStates.computeElapsed(localState, nowMs),
      phaseMs: nowMs - (record?.readAtMs ?? nowMs),
      durationMs: order.durationMs,
      isInService: split.fromVersion === split.toVersion,
      assessment: localState.isHalted ? { ...assessment, result: 'bad' as const } : assessment,
      targetCount,
      requests: localState.reports.countAnswers(),
      leaving: recentReports.reduce((sum, { leaving }) => sum + leaving, 0),
      hasStreams: engine !== undefined,
      intervalMs: options.getReportIntervalMs(),
      hasQuorum: recentReports.length > options.countRouters() * QUORUM_SHARE,
    };
  }

  async function writeStep(
    view: RolloutView,
    order: ObservedOrder,
    step: RolloutStep,
    elapsedMs: number,
  ): Promise<string | undefined> {
    const { service, split } = view;
    const { fromVersion, toVersion } = split;
    const { phase, share, reason } = step;
    if (phase === 'ordered') return 'a roll-out cannot return to the phase ordered';
    const record: RolloutRecord = {
      orderRevision: order.revision,
      fromVersion,
      toVersion,
      phase,
      share,
      elapsedMs: Math.round(elapsedMs),
      reason,
    };
    const key = `${options.recordPrefix}${service}`;
    const value = RolloutRecords.encodeRecord(record);
    const status = wire.encodeRolloutStatus({ toVersion, state: formatState(phase) });
    const written = await store.writeTransaction({
      comparisons: [
        { key: order.key, revision: order.revision },
        { key, revision: getStoredRevision(key, view.record) },
      ],
      writes: [
        { key: wire.formatRolloutStatusKey(service), value: status },
        { key, value },
      ],
    });
    if (written.kind === 'conflict') {
      recordConflict(key, view.record, written.current);
      return 'another router wrote a step first';
    }
    if (written.kind !== 'written') return written.message;
    directory.recordEntry({ key, revision: written.revision, value });
    return undefined;
  }

  /** Must be called after the received reports were added to the local state. */
  async function runStep(view: RolloutView, localState: LocalRolloutState): Promise<void> {
    const { service, order, split } = view;
    if (order === undefined) return;
    const situation = buildSituation(view, order, localState);
    const step = options.decideStep(situation, options.limits);
    if (step === undefined) return;
    const { assessment, elapsedMs, leaving, requests } = situation;
    if (step.phase === 'rolledBack' && !localState.isHalted) {
      localState.isHalted = true;
      logEvent(Events.HALTED, { service, toVersion: split.toVersion, reason: step.reason });
    }
    const failure = await writeStep(view, order, step, elapsedMs);
    const fields = {
      service,
      order: order.revision,
      toVersion: split.toVersion,
      phase: step.phase,
      share: step.share,
      reason: step.reason,
      verdict: assessment.result,
      answers: assessment.answers,
      badAnswers: assessment.badAnswers,
      requests,
      leaving,
      elapsedMs: Math.round(elapsedMs),
    };
    if (failure === undefined) logEvent(Events.STEP_WRITTEN, fields);
    else logEvent(Events.STEP_FAILED, { ...fields, failure });
  }

  return { runStep };
}
