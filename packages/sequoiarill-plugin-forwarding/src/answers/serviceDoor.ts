/** The door before each plain service: what it is asked, and what it learns from each send. */
import type { DoorDecision, LatencyDoor } from '@sequoiarill/decisions';

import type { ForwardRequest, SendOutcome } from '../forwardRequest';
import type { ForwardingParts } from '../parts';
import * as Placement from './placement';

export function decideDoor(parts: ForwardingParts, request: ForwardRequest): DoorDecision {
  const { book, directory } = parts;
  const open = Placement.listOpen(parts, request);
  const usable = open.filter((target) => !book.isSuspect(target));
  return parts.getDoor(request.service).decide({
    slots: usable.reduce((sum, { slots }) => sum + slots, 0),
    routers: directory.countRouters(),
    isReturning: request.isReturning,
  });
}

/** A target that is full gave no answer, and says the same as one that comes late. */
export function recordSend(
  door: LatencyDoor,
  { route }: ForwardRequest,
  outcome: SendOutcome,
  sentAtMs: number,
  nowMs: number,
): void {
  const { objectiveMs } = route;
  if (outcome.kind === 'whole') {
    door.recordEnd(nowMs, { latencyMs: nowMs - sentAtMs, objectiveMs });
  } else if (outcome.kind === 'notRun') {
    door.recordEnd(nowMs, { latencyMs: objectiveMs, objectiveMs });
  } else door.recordEnd(nowMs);
}
