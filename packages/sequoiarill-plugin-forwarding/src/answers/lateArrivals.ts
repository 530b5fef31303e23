/**
 * Counts retries for as long as what was sent may still arrive.
 *
 * Failure: targets stand still, or links hold bytes back, and what was given up arrives together with its repeats and with
 * what is sent by then, more in one window than the routers have sent in any.
 */
import type { ForwardingDependencies } from '../dependencies';
import type { ForwardRequest } from '../forwardRequest';

/** Sends of one request. */
export interface LateSends {
  /** Targets that have not answered and may receive the request later. */
  readonly unanswered: string[];
  repeats: number;
  /** Repeats that count until such a target is heard. */
  held: number;
}

type Dependencies = Pick<ForwardingDependencies, 'clock' | 'getBudget'>;

export function createLateSends(): LateSends {
  return { unanswered: [], repeats: 0, held: 0 };
}

/** Of all sends, as many arrivals are beyond the first as there are repeats. */
function updateHeld(
  { clock, getBudget }: Dependencies,
  { service }: ForwardRequest,
  late: LateSends,
): void {
  while (late.held < late.repeats) {
    const target = late.unanswered.shift();
    if (target === undefined) return;
    late.held += 1;
    getBudget(service).holdRetry(clock.getNowMs(), target);
  }
}

/** A retry was taken, and the request is sent once more after so many sends. */
export function recordRepeat(
  dependencies: Dependencies,
  request: ForwardRequest,
  late: LateSends,
  sends: number,
): void {
  late.repeats = sends;
  updateHeld(dependencies, request, late);
}

/** The target has not answered in time. */
export function recordUnanswered(
  dependencies: Dependencies,
  request: ForwardRequest,
  late: LateSends,
  target: string,
): void {
  late.unanswered.push(target);
  updateHeld(dependencies, request, late);
}
