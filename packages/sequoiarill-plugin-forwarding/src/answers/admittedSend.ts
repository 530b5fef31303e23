/** One attempt of a plain request, with all that is recorded about it when it ends. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { TargetRun } from '../crashes/targetRuns';
import type { ForwardingDependencies } from '../dependencies';
import type { AnswerSink, ForwardRequest, PlainOutcome } from '../forwardRequest';
import * as Checks from './answerChecks';
import * as Sending from './sending';
import * as ServiceAdmissions from './serviceAdmission';

/** The answer of a target, held until it was whole or passed on to its end. */
export function isComplete(
  outcome: PlainOutcome,
): outcome is Extract<PlainOutcome, { kind: 'whole' | 'passed' }> {
  return outcome.kind === 'whole' || outcome.kind === 'passed';
}

/**
 * Failure: callers that read long answers slowly keep them in progress for minutes. Their service would look full and
 * their version slow, and requests of other callers would be refused. So the latency of an answer that is passed on
 * ends with its first bytes.
 */
export async function sendWithAdmission(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  options: Sending.SendOptions,
): Promise<PlainOutcome> {
  const { target } = options;
  const { clock } = dependencies;
  const admission = dependencies.getAdmission(request.service);
  const sentAtMs = clock.getNowMs();
  const { name: route, objectiveMs } = request.route;
  const recordEnd = dependencies.rollouts.recordAttempt({ target, route, objectiveMs });
  admission.recordStart();
  const run = dependencies.crashes.startRun(request, target, () => undefined);
  let isLatencyRecorded = false;

  function recordLatency(outcome: PlainOutcome): void {
    if (isLatencyRecorded) return;
    isLatencyRecorded = true;
    ServiceAdmissions.recordSend(admission, request, outcome, sentAtMs, clock.getNowMs());
    recordEnd(Sending.decideVersionResult(outcome));
  }

  const outcome = await Sending.sendOnce(
    dependencies,
    addStartListener(request, (head) => recordLatency({ kind: 'passed', head })),
    options,
  );
  if (isComplete(outcome) && Checks.isSuccess(outcome.head.status)) run.recordAnswer();
  recordProgress(run, outcome);
  run.end();
  recordLatency(outcome);
  await recordBreak(dependencies, request, target, outcome);
  return outcome;
}

function addStartListener(request: ForwardRequest, onStart: AnswerSink['start']): ForwardRequest {
  const { sink } = request;
  if (sink === undefined) return request;
  const start: AnswerSink['start'] = (head) => {
    onStart(head);
    sink.start(head);
  };
  return { ...request, sink: { ...sink, start } };
}

function recordProgress(run: TargetRun, { kind }: PlainOutcome): void {
  if (kind === 'broken') run.recordHead();
  if (kind === 'whole' || kind === 'passed' || kind === 'notRun' || kind === 'notSent') {
    run.recordSurvived();
  }
}

/** Records that the target broke off the request, which counts as a crash if it has terminated. */
async function recordBreak(
  { crashes }: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  outcome: PlainOutcome,
): Promise<void> {
  if (outcome.kind === 'lost' && !outcome.isTimeout) {
    await crashes.recordDisconnect({ request, target, hasHead: false, ranMs: undefined });
  } else if (outcome.kind === 'broken' && !outcome.isTimeout) {
    await crashes.recordDisconnect({ request, target, hasHead: true, ranMs: outcome.ranMs });
  }
}
