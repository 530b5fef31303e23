/** Targets behind links, each a series of lives at one address. */
import * as Standins from '@sequoiarill/standins';
import type { LinkStandin, ServiceName, StoreStandin, TargetStandin } from '@sequoiarill/standins';

import type { LifeRuns } from './checks';

export interface TargetPlace {
  readonly service: ServiceName;
  readonly link: LinkStandin;
  readonly getLife: () => TargetStandin;
  readonly listLives: () => readonly LifeRuns[];
  /** Ends this life without a word; another one begins after the time. */
  readonly restart: (downMs: number) => Promise<void>;
  /** Writes that it leaves; gives the identity of the life that does. */
  readonly leave: () => string;
  readonly stop: () => Promise<void>;
}

export interface TargetPlaceOptions {
  readonly index: number;
  readonly service: ServiceName;
  readonly zone: string;
  readonly store: StoreStandin;
  readonly eventCount: number;
}

const SLOTS = 32;

export async function startTarget(options: TargetPlaceOptions): Promise<TargetPlace> {
  const { index, service, zone, store, eventCount } = options;
  const lives: TargetStandin[] = [];
  let listen = '127.0.0.1:0';
  let isStopped = false;

  function createLife(): TargetStandin {
    const id = `${service}-${index}-life-${lives.length + 1}`;
    const life = Standins.createTargetStandin(id, { listen, eventCount });
    lives.push(life);
    return life;
  }

  function getLife(): TargetStandin {
    const life = lives.at(-1);
    if (life === undefined) throw new Error('the target has no life yet');
    return life;
  }

  function writeEntry(state: 'ready' | 'draining'): void {
    const startedAtUnixMs = lives.length;
    const entry = { service, address, zone, slots: SLOTS, state, startedAtUnixMs };
    store.writeValue(Standins.formatTargetKey(getLife().id), Standins.formatTargetEntry(entry));
  }

  listen = await createLife().start();
  const link = Standins.createLinkStandin({ target: listen });
  const { address } = await link.start();
  writeEntry('ready');

  return {
    service,
    link,
    getLife,
    listLives: () => lives.map((life) => ({ target: life.id, runs: life.listRuns() })),
    async restart(downMs) {
      const ended = getLife();
      await ended.stop();
      await new Promise((resolve) => {
        setTimeout(resolve, downMs);
      });
      if (isStopped) return;
      const next = createLife();
      await next.start();
      store.removeKey(Standins.formatTargetKey(ended.id));
      writeEntry('ready');
    },
    leave() {
      writeEntry('draining');
      return getLife().id;
    },
    async stop() {
      isStopped = true;
      await getLife().stop();
      await link.stop();
    },
  };
}
