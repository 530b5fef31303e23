/**
 * Decides a roll-out for all routers and writes what was decided.
 *
 * Nobody is elected: every router can judge, the first in rank that answers does, and the store takes one
 * step once, since each is written on condition of the one before and of the order that it answers.
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
import * as RolloutRecords from './rolloutRecord';
import type { RolloutRecord } from './rolloutRecord';
import * as RolloutStates from './localRolloutState';
import type { RolloutMemory } from './localRolloutState';
import type { RolloutView, SeenOrder, SeenRecord } from './rolloutViews';

export interface JudgeOptions {
  readonly store: Pick<KeyValueStore, 'writeTransaction'>;
  readonly directory: Pick<Directory, 'getConfiguration' | 'listTargets' | 'recordEntry'>;
  readonly wire: ForwardingWire;
  readonly recordPrefix: string;
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly logEvent: LogEvent;
  readonly limits: RolloutLimits;
  readonly decideStep: DecideRolloutStep;
  readonly countRouters: () => number;
  /** Pause between two reports of a router, milliseconds. */
  readonly getIntervalMs: () => number;
}

/** A router that has not reported for so many intervals is not counted. */
const FRESH_INTERVALS = 3;
/** Share of the known routers whose reports a step forward needs: of two judges, one has it at most. */
const QUORUM = 0.5;

function formatState(phase: RolloutPhase): RolloutStatus['state'] {
  return phase === 'completed' || phase === 'rolledBack' ? phase : 'inProgress';
}

export function createJudge(options: JudgeOptions) {
  const { store, directory, wire, clock, logEvent } = options;
  /** Revisions that the store named for states that are known here under another one. */
  const storedRevisions = new Map<string, { readonly known: number; readonly stored: number }>();

  function getStoredRevision(key: string, record: SeenRecord | undefined): number {
    const known = record?.revision ?? 0;
    const other = storedRevisions.get(key);
    return other?.known === known ? other.stored : known;
  }

  /**
   * Failure: a store that numbers each key of a transaction names the last number only; the state is then
   * known under a number that it does not have, and every further step is refused.
   */
  function recordConflict(
    key: string,
    record: SeenRecord | undefined,
    current: readonly KeyValueEntry[],
  ): void {
    const entry = current.find((one) => one.key === key);
    if (entry === undefined) return;
    if (RolloutRecords.isSameState(RolloutRecords.decodeRecord(entry.value), record)) {
      storedRevisions.set(key, { known: record?.revision ?? 0, stored: entry.revision });
    } else directory.recordEntry(entry);
  }

  function checkTargets({ service, split }: RolloutView, memory: RolloutMemory) {
    const targets = directory
      .listTargets(service)
      .filter(({ version, state }) => version === split.toVersion && state === 'ready');
    const judgement = Decisions.checkVersion(memory.reports.listTallies(), targets.length);
    memory.avoided = new Set([...memory.avoided, ...judgement.avoided]);
    return { judgement, targetCount: targets.length };
  }

  function createSituation(view: RolloutView, order: SeenOrder, memory: RolloutMemory) {
    const { service, split, record } = view;
    const nowMs = clock.getNowMs();
    const fresh = memory.reports.listSince(nowMs - FRESH_INTERVALS * options.getIntervalMs());
    const { judgement, targetCount } = checkTargets(view, memory);
    const engine = directory.getConfiguration()?.services.get(service)?.engine;
    return {
      phase: split.phase,
      share: split.share,
      elapsedMs: RolloutStates.computeElapsed(memory, nowMs),
      phaseMs: nowMs - (record?.seenAtMs ?? nowMs),
      durationMs: order.durationMs,
      isInService: split.fromVersion === split.toVersion,
      judgement: memory.isHalted ? { ...judgement, verdict: 'bad' as const } : judgement,
      targetCount,
      requests: memory.reports.countAnswers(),
      leaving: fresh.reduce((sum, { leaving }) => sum + leaving, 0),
      canHandOver: engine?.hasBackups === true,
      intervalMs: options.getIntervalMs(),
      isQuorate: fresh.length > options.countRouters() * QUORUM,
    };
  }

  async function writeStep(
    view: RolloutView,
    order: SeenOrder,
    step: RolloutStep,
    elapsedMs: number,
  ): Promise<string | undefined> {
    const { service, split } = view;
    const { fromVersion, toVersion } = split;
    const { phase, share, reason } = step;
    if (phase === 'ordered') return 'a roll-out never goes back to its order';
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
      return 'another router was first';
    }
    if (written.kind !== 'written') return written.message;
    directory.recordEntry({ key, revision: written.revision, value });
    return undefined;
  }

  /** Reports must have been taken in before. */
  async function runStep(view: RolloutView, memory: RolloutMemory): Promise<void> {
    const { service, order, split } = view;
    if (order === undefined) return;
    const situation = createSituation(view, order, memory);
    const step = options.decideStep(situation, options.limits);
    if (step === undefined) return;
    const { judgement, elapsedMs, leaving, requests } = situation;
    if (step.phase === 'rolledBack' && !memory.isHalted) {
      memory.isHalted = true;
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
      verdict: judgement.verdict,
      answers: judgement.answers,
      badAnswers: judgement.badAnswers,
      requests,
      leaving,
      elapsedMs: Math.round(elapsedMs),
    };
    if (failure === undefined) logEvent(Events.STEP_WRITTEN, fields);
    else logEvent(Events.STEP_FAILED, { ...fields, failure });
  }

  return { runStep };
}
