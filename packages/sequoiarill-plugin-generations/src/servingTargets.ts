/**
 * Selects the engines of each model that this router uses, once for each configuration.
 *
 * 570 routers that each connect to 6,700 servers would hold millions of connections. Each router uses
 * a bounded set instead, evenly distributed; the other engines are used only if the set has failed.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { Configuration, EngineTarget, Model } from '@sequoiarill/types';

import * as EngineRequests from './engineRequests';

export interface ServingTargets {
  /** The bounded set of engines selected for this router. */
  readonly listSelected: (model: Model) => readonly EngineTarget[];
  /** Sets the routers that share the engines of the local zone; a change recomputes the sets. */
  readonly setRouters: (names: readonly string[]) => void;
  /** Every engine of the model, as a last resort. */
  readonly listAll: (model: Model) => readonly EngineTarget[];
}

export interface ServingTargetsOptions {
  readonly routerName: string;
  readonly zone: string;
  /** Engines of one model in the local zone. */
  readonly setSize: number;
  readonly getConfiguration: () => Configuration;
}

/** Engines in other zones, relative to `setSize`: enough to try when the local zone fails. */
const OTHER_ZONES_SHARE = 0.25;

interface ModelTargets {
  readonly all: readonly EngineTarget[];
  readonly selected: readonly EngineTarget[];
}

export function createServingTargets(options: ServingTargetsOptions): ServingTargets {
  const { routerName, zone, setSize, getConfiguration } = options;
  const localZone = Decisions.createTargetSet({ routerName, size: setSize });
  const otherSize = Math.max(1, Math.ceil(setSize * OTHER_ZONES_SHARE));
  const otherZones = Decisions.createTargetSet({ routerName, size: otherSize });
  let cachedConfiguration: Configuration | undefined;
  let routers: readonly string[] = [];
  const byModel = new Map<string, ModelTargets>();

  function selectTargets(all: readonly EngineTarget[]): readonly EngineTarget[] {
    const local = all.filter((target) => target.zone === zone).map((target) => target.name);
    const others = all.filter((target) => target.zone !== zone).map((target) => target.name);
    const names = new Set([
      ...localZone.selectTargets(local, routers),
      ...otherZones.selectTargets(others),
    ]);
    return all.filter((target) => names.has(target.name));
  }

  function getTargets(model: Model): ModelTargets {
    const configuration = getConfiguration();
    if (configuration !== cachedConfiguration) byModel.clear();
    cachedConfiguration = configuration;
    const key = `${model.name}@${model.version}`;
    const cached = byModel.get(key);
    if (cached !== undefined) return cached;
    const all = [...configuration.targets.values()].filter(
      (target): target is EngineTarget =>
        target.kind === 'engine' && EngineRequests.findServedName(target, model) !== undefined,
    );
    const targets = { all, selected: selectTargets(all) };
    byModel.set(key, targets);
    return targets;
  }

  return {
    setRouters(names) {
      if (names.join() === routers.join()) return;
      routers = names;
      byModel.clear();
    },
    listSelected: (model) => getTargets(model).selected,
    listAll: (model) => getTargets(model).all,
  };
}
