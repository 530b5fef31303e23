/** Engines that crash and come back in virtual time, as routers see them. */
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Fakes from '../../__tests__/fakeDependencies';
import type { TargetProbes } from './routerSimulation';

export interface SimulatedEngine {
  readonly index: number;
  life: number;
  isUp: boolean;
  readonly runs: Set<() => void>;
}

export interface CrashBehaviour {
  /** `silence`: nothing closes, and runs are given up after a while. */
  readonly crashWay?: 'reset' | 'silence';
  /** Whether the next engine has the address of the one before. */
  readonly keepsAddress?: boolean;
}

function formatEngineId({ index, life }: SimulatedEngine): string {
  return `e${index}-${life}`;
}

/** The address names the incarnation as well. */
export function createEngineTarget(engine: SimulatedEngine): ForwardingTarget {
  const id = formatEngineId(engine);
  return { ...Fakes.createTarget(id), address: id };
}

export function createEngines(count: number): readonly SimulatedEngine[] {
  return Array.from({ length: count }, (_one, index) => ({
    index,
    life: 1,
    isUp: true,
    runs: new Set<() => void>(),
  }));
}

export function createEngineProbes(
  engines: readonly SimulatedEngine[],
  { crashWay = 'reset', keepsAddress = false }: CrashBehaviour,
): TargetProbes {
  const findEngine = (id: string): SimulatedEngine | undefined =>
    engines.find(({ index }) => id.startsWith(`e${index}-`));

  /** Whether something accepts connections at the address. */
  function hasListener(id: string): boolean {
    const engine = findEngine(id);
    if (engine === undefined || !engine.isUp) return false;
    return keepsAddress || formatEngineId(engine) === id;
  }

  return {
    async checkExit({ address }) {
      if (hasListener(address)) return 'alive';
      return crashWay === 'silence' ? 'silent' : 'ended';
    },
    async readContact({ address }) {
      if (hasListener(address)) return 'answers';
      return crashWay === 'silence' ? 'accepts' : 'refuses';
    },
    async readIdentity({ address }) {
      const engine = findEngine(address);
      return engine !== undefined && hasListener(address) ? formatEngineId(engine) : undefined;
    },
    // The directory lists an engine until the next one is up.
    findCurrent({ id }) {
      const engine = findEngine(id);
      if (engine === undefined || formatEngineId(engine) !== id) return undefined;
      return createEngineTarget(engine);
    },
  };
}
