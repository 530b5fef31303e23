/** Parts that several suites need: silent kernel services, random numbers, small section texts. */
import type { Clock, EventDefinition, Metrics } from '@sequoiarill/types';
import * as Distribution from 'pure-rand/distribution/uniformFloat64';
import * as Generator from 'pure-rand/generator/xoroshiro128plus';

import * as News from '../configurationNews';
import * as FollowedConfigurations from '../followedConfiguration';
import type { FollowedConfiguration } from '../followedConfiguration';
import type { ReaderMode } from '../readerDuty';
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

/** A section with one model, which is enough to tell texts apart by version. */
export function formatModelSection(version: string, name = 'advisor'): string {
  return JSON.stringify({ models: { [name]: { version, contextTokens: 10_000 } } });
}

export interface Node extends FollowedConfiguration {
  readonly name: string;
  readonly events: EventDefinition[];
  /** Ends the node as a kill does: it gives back no lease. */
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

/** One router's part in following the configuration. */
export function createNode(options: NodeOptions): Node {
  const { platform, clock, name, zone = 'z1', seed = 1, mode = 'auto' } = options;
  const events: EventDefinition[] = [];
  const followed = FollowedConfigurations.createFollowedConfiguration({
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
    ...followed,
    name,
    events,
    start() {
      running = followed.run(stopping.signal);
    },
    async stop() {
      stopping.abort();
      await running;
    },
    getVersion: (model = 'advisor') => followed.state.getConfiguration().models.get(model)?.version,
  };
}

/** What the membership plug-in does between routers: passes on what the other lacks. */
export function mergeNodes(nodes: readonly Node[]): void {
  for (const from of nodes) {
    for (const to of nodes) {
      const news = from.state.getAnnouncement();
      const own = to.state.getAnnouncement();
      if (news.revision > own.revision) {
        to.state.mergeSections(news, from.state.listSectionsAfter(own.revision));
      } else if (News.compareNews(news, own) > 0) to.state.mergeSections(news, []);
    }
  }
}
