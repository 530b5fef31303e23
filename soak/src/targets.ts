/** Runs targets behind links. A target has a sequence of incarnations at one address. */
import * as Standins from '@sequoiarill/standins';
import type {
  EndlessFlow,
  LinkStandin,
  ServiceName,
  StoreStandin,
  TargetStandin,
} from '@sequoiarill/standins';

import type { IncarnationRuns } from './checks';

export interface ManagedTarget {
  readonly service: ServiceName;
  readonly link: LinkStandin;
  /** `IP:port` that its entries name. */
  readonly address: string;
  readonly getCurrent: () => TargetStandin;
  readonly listIncarnations: () => readonly IncarnationRuns[];
  /** Answers without end of all incarnations. */
  readonly listFlows: () => readonly EndlessFlow[];
  /** Stops the current incarnation without notice and starts the next one after the given time. */
  readonly restart: (downMs: number) => Promise<void>;
  /** Writes the entry again that the store may have lost, and removes those of ended incarnations. */
  readonly writeAgain: () => void;
  /** Writes to the store that the target leaves, and returns the id of the current incarnation. */
  readonly leave: () => string;
  readonly stop: () => Promise<void>;
}

export interface TargetOptions {
  readonly index: number;
  readonly service: ServiceName;
  readonly zone: string;
  readonly store: StoreStandin;
  readonly eventCount: number;
  /** The target has crashed under the part that crashes engines. */
  readonly onCrash: () => void;
}

/** So few that streams wait for room while engines are down. */
const SLOTS = 4;
/** Time between two events; one engine in four runs at half the speed. */
const EVENT_MS = 15;
const SLOW_EVENT_MS = 30;
const SLOW_INTERVAL = 4;
/** Part of prompts that crashes engines. */
export const CRASHING_PART = 'crashing';
const CRASH_AFTER_MS = 60;
/** Time between a crash and the start of the next incarnation. */
const CRASH_DOWNTIME_MS = 700;

/** Software versions that serve side by side. */
export const VERSIONS = ['v1', 'v2'] as const;
/** Incarnations of a target that run the same version, one after the other. */
const INCARNATIONS_PER_VERSION = 2;

function getVersion(index: number, incarnation: number): string {
  const changes = Math.floor(incarnation / INCARNATIONS_PER_VERSION);
  return VERSIONS[(index + changes) % VERSIONS.length] ?? VERSIONS[0];
}

export async function startTarget(options: TargetOptions): Promise<ManagedTarget> {
  const { index, service, zone, store, eventCount, onCrash } = options;
  const incarnations: TargetStandin[] = [];
  let listen = '127.0.0.1:0';
  let isStopped = false;
  let writtenState: 'ready' | 'draining' = 'ready';

  function createIncarnation(): TargetStandin {
    const id = `${service}-${index}-life-${incarnations.length + 1}`;
    const version = getVersion(index, incarnations.length);
    const incarnation = Standins.createTargetStandin(id, {
      listen,
      eventCount,
      eventMs: index % SLOW_INTERVAL === 0 ? SLOW_EVENT_MS : EVENT_MS,
      version,
      promptCrash: { parts: [CRASHING_PART], afterMs: CRASH_AFTER_MS, onCrash: startAgain },
    });
    incarnations.push(incarnation);
    return incarnation;
  }

  function getCurrent(): TargetStandin {
    const incarnation = incarnations.at(-1);
    if (incarnation === undefined) throw new Error('the target has not been started');
    return incarnation;
  }

  function writeEntry(state: 'ready' | 'draining'): void {
    writtenState = state;
    const startedAtUnixMs = incarnations.length;
    const version = getVersion(index, incarnations.length - 1);
    const entry = { service, address, zone, version, slots: SLOTS, state, startedAtUnixMs };
    store.writeValue(Standins.formatTargetKey(getCurrent().id), Standins.formatTargetEntry(entry));
  }

  async function startNext(downMs: number): Promise<void> {
    const ended = getCurrent();
    await ended.stop();
    await new Promise((resolve) => {
      setTimeout(resolve, downMs);
    });
    // It may have crashed and been restarted meanwhile.
    if (isStopped || getCurrent() !== ended) return;
    const next = createIncarnation();
    await next.start();
    store.removeKey(Standins.formatTargetKey(ended.id));
    writeEntry('ready');
  }

  async function startAgain(): Promise<void> {
    onCrash();
    await startNext(CRASH_DOWNTIME_MS);
  }

  listen = await createIncarnation().start();
  const link = Standins.createLinkStandin({ target: listen });
  const { address } = await link.start();
  writeEntry('ready');

  return {
    service,
    link,
    address,
    getCurrent,
    listIncarnations: () =>
      incarnations.map((incarnation) => ({ target: incarnation.id, runs: incarnation.listRuns() })),
    listFlows: () => incarnations.flatMap((incarnation) => incarnation.listEndlessFlows()),
    restart: startNext,
    writeAgain() {
      incarnations.slice(0, -1).forEach(({ id }) => store.removeKey(Standins.formatTargetKey(id)));
      writeEntry(writtenState);
    },
    leave() {
      writeEntry('draining');
      return getCurrent().id;
    },
    async stop() {
      isStopped = true;
      await getCurrent().stop();
      await link.stop();
    },
  };
}
