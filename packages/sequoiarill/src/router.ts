/** The router daemon: a kernel with all plug-ins, configured by one settings file. */
import { readFileSync } from 'node:fs';

import * as Kernel from '@sequoiarill/kernel';
import type { Kernel as RunningKernel, SettingsResult } from '@sequoiarill/kernel';

import './plugins';

/** Maximum drain time of a planned stop; generations can run for minutes. */
export const DRAIN_LIMIT_MS = 600_000;

export interface Router {
  readonly kernel: RunningKernel;
  /** Stops accepting work, waits for the work in progress, then stops. Idempotent. */
  readonly stop: (drainLimitMs?: number) => Promise<void>;
}

export function loadSettings(file: string): SettingsResult {
  return parseSettings(readFileSync(file, 'utf8'), file);
}

export function parseSettings(text: string, file: string): SettingsResult {
  return Kernel.parseSettings(text, file, Kernel.listPlugins());
}

/** Starts a router; rejects if a plug-in fails to start, after stopping the others. */
export async function startRouter(settings: Kernel.Settings): Promise<Router> {
  let stopping: Promise<void> | undefined;
  const kernel = Kernel.createKernel({
    settings,
    onStopRequested: () => {
      stop().catch(() => undefined);
    },
  });

  async function runStop(drainLimitMs: number): Promise<void> {
    await kernel.drain(drainLimitMs);
    await kernel.stop();
  }

  function stop(drainLimitMs = DRAIN_LIMIT_MS): Promise<void> {
    stopping ??= runStop(drainLimitMs);
    return stopping;
  }

  await kernel.start().catch(async (error: unknown) => {
    await kernel.stop().catch(() => undefined);
    throw error;
  });
  return { kernel, stop };
}
