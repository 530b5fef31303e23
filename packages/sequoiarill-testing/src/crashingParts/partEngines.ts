/** Engines that crash on certain parts of prompts, each of which is followed by another one after a while. */
import { setTimeout as startTimeout } from 'node:timers/promises';

import * as Standins from '@sequoiarill/standins';
import type { CrashWay, StoreStandin, TargetStandin } from '@sequoiarill/standins';

export interface PartEngineOptions {
  /** Ids of the parts that crash engines. */
  readonly parts: readonly string[];
  /** Time from the head of an answer to the crash. */
  readonly crashAfterMs?: number;
  readonly crashWay?: CrashWay;
  /** Time for which an engine holds a request before it runs it; drawn for each request. */
  readonly drawHoldMs?: () => number;
  readonly eventCount?: number;
  /** Time from a crash to the start of the next engine. */
  readonly restartMs?: number;
  /** Whether the next engine listens at the address of the one before. */
  readonly keepsAddress?: boolean;
}

/** One machine: a sequence of engines of which at most one runs. */
export interface PartEngine {
  readonly listLives: () => readonly TargetStandin[];
  /** `performance.now()` of each crash, milliseconds. */
  readonly listCrashes: () => readonly number[];
  readonly stop: () => Promise<void>;
}

export const PART_ZONES = ['zone-a', 'zone-b', 'zone-c'];
export const PART_SERVICE = 'engines';

const EVENT_COUNT = 80;
const RESTART_MS = 1_500;
const SLOTS = 32;
const ANY_PORT = '127.0.0.1:0';

export async function startPartEngine(
  store: StoreStandin,
  index: number,
  options: PartEngineOptions,
): Promise<PartEngine> {
  const {
    parts,
    crashAfterMs = 60,
    crashWay = 'reset',
    drawHoldMs,
    restartMs = RESTART_MS,
  } = options;
  const { keepsAddress = true, eventCount = EVENT_COUNT } = options;
  const lives: TargetStandin[] = [];
  const crashesMs: number[] = [];
  let address = ANY_PORT;
  let isStopped = false;

  async function startLife(): Promise<void> {
    const id = `engine-${index}-life-${lives.length + 1}`;
    const life = Standins.createTargetStandin(id, {
      listen: keepsAddress ? address : ANY_PORT,
      eventCount,
      ...(drawHoldMs === undefined ? {} : { drawHoldMs }),
      promptCrash: {
        parts,
        afterMs: crashAfterMs,
        way: crashWay,
        onCrash() {
          crashesMs.push(performance.now());
          return startNext(life);
        },
      },
    });
    lives.push(life);
    address = await life.start();
    const zone = PART_ZONES[index % PART_ZONES.length] ?? '';
    const entry = { service: PART_SERVICE, address, zone, version: 'v1', slots: SLOTS } as const;
    store.writeValue(
      Standins.formatTargetKey(id),
      Standins.formatTargetEntry({ ...entry, state: 'ready', startedAtUnixMs: lives.length }),
    );
  }

  async function startNext(crashed: TargetStandin): Promise<void> {
    await startTimeout(restartMs);
    if (isStopped) return;
    if (keepsAddress) await crashed.stop();
    store.removeKey(Standins.formatTargetKey(crashed.id));
    await startLife();
  }

  await startLife();
  return {
    listLives: () => lives,
    listCrashes: () => crashesMs,
    async stop() {
      isStopped = true;
      await Promise.all(lives.map((life) => life.stop()));
    },
  };
}
