/**
 * Asks engines whether they respond, and whether their host accepts connections.
 *
 * A process that is paused, or too busy to respond, still has its connections accepted by the kernel;
 * a host or path that is gone accepts none.
 */
import * as Net from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import type { EngineTarget } from '@sequoiarill/types';

import * as EngineLoads from './engineLoads';
import type { EnginePools } from './enginePools';

export interface EngineProbes {
  /**
   * Whether the engine responds in time and takes requests. A response to an earlier probe that
   * arrives during the wait counts too.
   */
  readonly checkResponding: (target: EngineTarget) => Promise<boolean>;
  /** Whether the engine's host accepts a connection in time. */
  readonly checkAccepting: (target: EngineTarget) => Promise<boolean>;
}

export interface EngineProbesOptions {
  readonly pools: Pick<EnginePools, 'getPool'>;
  readonly getRunningMs: () => number;
}

/** A sound engine of the region responds within a few milliseconds, a busy one in some tens. */
const RESPONSE_WAIT_MS = 100;
/** A probe is renewed after this time, on another connection. */
const PROBE_TIMEOUT_MS = 900;

export function createEngineProbes({ pools, getRunningMs }: EngineProbesOptions): EngineProbes {
  /** Shared by all streams that ask about the same engine at the same time. */
  const probes = new Map<string, Promise<boolean>>();
  const connections = new Map<string, Promise<boolean>>();

  async function callEngine(target: EngineTarget): Promise<boolean> {
    const controller = new AbortController();
    const stopTimer = Kernel.startRunningTimer(getRunningMs, PROBE_TIMEOUT_MS, () =>
      controller.abort(),
    );
    try {
      const load = await EngineLoads.readLoad(pools.getPool(target), controller.signal);
      return load !== undefined && !load.draining;
    } catch {
      return false;
    } finally {
      stopTimer();
    }
  }

  function openConnection({ address }: EngineTarget): Promise<boolean> {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    return new Promise((resolve) => {
      const socket = Net.connect({ host, port: Number(address.slice(separator + 1)) });
      const stopTimer = Kernel.startRunningTimer(getRunningMs, RESPONSE_WAIT_MS, () =>
        resolveResult(false),
      );
      function resolveResult(isAccepted: boolean): void {
        stopTimer();
        socket.destroy();
        resolve(isAccepted);
      }
      socket.once('connect', () => resolveResult(true));
      socket.on('error', () => resolveResult(false));
    });
  }

  function waitForResponse(probe: Promise<boolean>): Promise<boolean> {
    return new Promise((resolve) => {
      const stopTimer = Kernel.startRunningTimer(getRunningMs, RESPONSE_WAIT_MS, () =>
        resolve(false),
      );
      probe
        .then((isResponding) => {
          stopTimer();
          resolve(isResponding);
        })
        .catch(() => undefined);
    });
  }

  return {
    checkResponding: (target) => waitForResponse(startSharedCall(probes, target, callEngine)),
    checkAccepting: (target) => startSharedCall(connections, target, openConnection),
  };
}

function startSharedCall(
  calls: Map<string, Promise<boolean>>,
  target: EngineTarget,
  startCall: (target: EngineTarget) => Promise<boolean>,
): Promise<boolean> {
  const existing = calls.get(target.address);
  if (existing !== undefined) return existing;
  const call = startCall(target).finally(() => calls.delete(target.address));
  calls.set(target.address, call);
  return call;
}
