/** Shared fixtures: no-op metrics, seeded random numbers, small section texts, and routers. */
import type { Clock, EventDefinition, Metrics } from '@sequoiarill/types';
import * as Distribution from 'pure-rand/distribution/uniformFloat64';
import * as Generator from 'pure-rand/generator/xoroshiro128plus';

import * as Announcements from '../announcementStore';
import * as ConfigurationSyncs from '../configurationSync';
import type { ConfigurationSync } from '../configurationSync';
import type { ReaderMode } from '../readerRole';
import type { FakePlatform } from './fakePlatform';

export const SILENT_METRICS: Metrics = {
  addCount: () => undefined,
  setGauge: () => undefined,
  recordTiming: () => undefined,
};

export function createRandom(seed: number): () => number {
  const generator = Generator.xoroshiro128plus(seed);
  return () => Distribution.uniformFloat64(generator);
}

/** Formats a section with one model, whose version distinguishes the texts. */
export function formatModelSection(version: string, name = 'advisor'): string {
  return JSON.stringify({ models: { [name]: { version, contextTokens: 10_000 } } });
}

export interface Node extends ConfigurationSync {
  readonly name: string;
  readonly events: EventDefinition[];
  /** Stops the node and waits for its end, which includes the release of its lease. */
  readonly stop: () => Promise<void>;
  readonly start: () => void;
  readonly getVersion: (model?: string) => string | undefined;
}

export interface NodeOptions {
  readonly platform: FakePlatform;
  readonly clock: Clock;
  readonly name: string;
  readonly zone?: string;
  readonly seed?: number;
  readonly mode?: ReaderMode;
}

/** Creates the configuration sync of one router. */
export function createNode(options: NodeOptions): Node {
  const { platform, clock, name, zone = 'z1', seed = 1, mode = 'auto' } = options;
  const events: EventDefinition[] = [];
  const sync = ConfigurationSyncs.createConfigurationSync({
    process: { name, zone },
    mode,
    store: platform.createStore(),
    clock,
    nextRandom: createRandom(seed),
    logEvent: (definition) => events.push(definition),
    metrics: SILENT_METRICS,
  });
  const stopping = new AbortController();
  let running: Promise<void> | undefined;
  return {
    ...sync,
    name,
    events,
    start() {
      running = sync.run(stopping.signal);
    },
    async stop() {
      stopping.abort();
      await running;
    },
    getVersion: (model = 'advisor') => sync.state.getConfiguration().models.get(model)?.version,
  };
}

/** Replicates the configuration between nodes, as the membership plug-in does between routers. */
export function relayConfiguration(nodes: readonly Node[]): void {
  for (const from of nodes) {
    for (const to of nodes) {
      const sent = from.state.getAnnouncement();
      const own = to.state.getAnnouncement();
      if (sent.revision > own.revision) {
        to.state.mergeSections(sent, from.state.listSectionsAfter(own.revision));
      } else if (Announcements.compareRecency(sent, own) > 0) to.state.mergeSections(sent, []);
    }
  }
}
