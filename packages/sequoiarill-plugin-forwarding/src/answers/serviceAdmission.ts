/** The door before each plain service: what it is asked, and what it learns from each send. */
import type { LatencyAdmissionDecision, LatencyAdmission } from '@sequoiarill/decisions';

import type { ForwardRequest, SendOutcome } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import * as Placement from './placement';

export function decideAdmission(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): LatencyAdmissionDecision {
  const { registry, directory } = dependencies;
  const open = Placement.listOpen(dependencies, request);
  const usable = open.filter((target) => !registry.isSuspect(target));
  return dependencies.getAdmission(request.service).decide({
    slots: usable.reduce((sum, { slots }) => sum + slots, 0),
    routers: directory.countRouters(),
    isClientRetry: request.isReturning,
  });
}

/** A target that is full gave no answer, and says the same as one that comes late. */
export function recordSend(
  admission: LatencyAdmission,
  { route }: ForwardRequest,
  outcome: SendOutcome,
  sentAtMs: number,
  nowMs: number,
): void {
  const { objectiveMs } = route;
  if (outcome.kind === 'whole') {
    admission.recordEnd(nowMs, { latencyMs: nowMs - sentAtMs, objectiveMs });
  } else if (outcome.kind === 'notRun') {
    admission.recordEnd(nowMs, { latencyMs: objectiveMs, objectiveMs });
  } else admission.recordEnd(nowMs);
}
