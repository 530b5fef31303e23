/** Records what attempts say about their targets. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import * as Events from '../events';
import type { ForwardRequest, PlainOutcome } from '../forwardRequest';
import * as Checks from './answerChecks';
import * as LateArrivals from './lateArrivals';
import * as Sending from './sending';

export interface AttemptProgress {
  /** The first target that returned a server error. */
  failedTarget: ForwardingTarget | undefined;
  readonly late: LateArrivals.LateSends;
}

/**
 * Failure: some requests fail on every target, and a target that received a few of them in a row would be
 * excluded although it works. A failure counts against its target only when another target then succeeds.
 */
function recordFullAnswer(
  { registry }: ForwardingDependencies,
  target: ForwardingTarget,
  status: number,
  progress: AttemptProgress,
): void {
  if (Checks.isServerError(status)) {
    progress.failedTarget ??= target;
    return;
  }
  registry.recordSuccess(target);
  if (progress.failedTarget !== undefined) registry.recordFailure(progress.failedTarget);
}

/** Records what the outcome of one attempt says about its target. */
export function recordOutcome(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  outcome: PlainOutcome,
  progress: AttemptProgress,
): void {
  const { registry, paths, log } = dependencies;
  if (outcome.kind === 'whole' || outcome.kind === 'passed') {
    recordFullAnswer(dependencies, target, outcome.head.status, progress);
    return;
  }
  if (outcome.kind === 'notRun') Sending.recordNotRun(dependencies, target, outcome.status);
  if (outcome.kind !== 'notSent' && !isLost(outcome)) return;
  // A single lost answer says little about a target that accepts connections; several in a row do.
  if (outcome.kind === 'notSent') registry.recordLoss(target);
  else {
    registry.recordFailure(target);
    paths.recordLoss(target);
  }
  if (outcome.kind === 'lost' && outcome.isUnanswered === true) {
    LateArrivals.recordUnanswered(dependencies, request, progress.late, target.id);
  }
  if (isLost(outcome) && outcome.isTimeout) dependencies.renewConnections(target);
  log.logEvent(Events.TARGET_LOST, {
    request: request.id,
    target: target.id,
    zone: target.zone,
    address: target.address,
    reason: outcome.reason,
    ...paths.getSummary(request.service),
  });
}

function isLost(
  outcome: PlainOutcome,
): outcome is Extract<PlainOutcome, { kind: 'lost' | 'broken' }> {
  return outcome.kind === 'lost' || outcome.kind === 'broken';
}
