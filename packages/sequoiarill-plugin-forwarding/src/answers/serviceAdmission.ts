/** Admission control for each plain service: the admission decision, and the results it learns from. */
import type { LatencyAdmissionDecision, LatencyAdmission } from '@sequoiarill/decisions';

import type { ForwardRequest, PlainOutcome } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import * as Placement from './placement';

export function decideAdmission(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): LatencyAdmissionDecision {
  const { registry, directory } = dependencies;
  const available = Placement.listAvailable(dependencies, request);
  const usable = available.filter((target) => !registry.isSuspect(target));
  return dependencies.getAdmission(request.service).decide({
    slots: usable.reduce((sum, { slots }) => sum + slots, 0),
    routers: directory.countRouters(),
    isClientRetry: request.isClientRetry,
  });
}

/** A target that is full returned no answer; it indicates overload just as a late answer does. */
export function recordSend(
  admission: LatencyAdmission,
  { route }: ForwardRequest,
  outcome: PlainOutcome,
  sentAtMs: number,
  nowMs: number,
): void {
  const { objectiveMs } = route;
  if (outcome.kind === 'whole' || outcome.kind === 'passed') {
    admission.recordEnd(nowMs, { latencyMs: nowMs - sentAtMs, objectiveMs });
  } else if (outcome.kind === 'notRun') {
    admission.recordEnd(nowMs, { latencyMs: objectiveMs, objectiveMs });
  } else admission.recordEnd(nowMs);
}
