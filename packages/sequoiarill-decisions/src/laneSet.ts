/** The lanes of a router, one for each model, made when a model is first asked for. */
import type { ConcurrencyLimit } from './concurrencyLimit';
import * as Lanes from './lane';

export interface LaneSet {
  readonly getLane: (model: string) => Lanes.Lane;
  readonly listLanes: () => readonly Lanes.Lane[];
  /** Over all lanes; nothing when nobody waits. */
  readonly getNextDeadlineMs: () => number | undefined;
}

export function createLaneSet(createLimit: (model: string) => ConcurrencyLimit): LaneSet {
  const lanes = new Map<string, Lanes.Lane>();

  function getLane(model: string): Lanes.Lane {
    const known = lanes.get(model);
    if (known !== undefined) return known;
    const created = Lanes.createLane(model, createLimit(model));
    lanes.set(model, created);
    return created;
  }

  function getNextDeadlineMs(): number | undefined {
    let next: number | undefined;
    for (const lane of lanes.values()) {
      const deadlineMs = lane.getNextDeadlineMs();
      if (deadlineMs !== undefined) next = Math.min(next ?? deadlineMs, deadlineMs);
    }
    return next;
  }

  return { getLane, getNextDeadlineMs, listLanes: () => [...lanes.values()] };
}
