/** Simulates a fleet of routers in virtual time; messages are passed as function calls. */
import { createHash } from 'node:crypto';

import type {
  ConfigurationExchange,
  ConfigurationAnnouncement,
  ConfigurationSection,
} from '@sequoiarill/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import * as ConfigurationPull from '../configurationPull';
import * as Handlers from '../exchangeHandlers';
import * as States from '../exchangeState';
import type { ExchangeState } from '../exchangeState';
import * as Tasks from '../exchangeTasks';
import * as Detectors from '../failureDetector';
import type { PeerCallResult, PeerCall, PeerTask } from '../messages';
import * as Partners from '../partners';
import type { PeerRecord } from '../peerRecord';
import * as PeerRegistries from '../peerRegistry';
import * as Rounds from '../rounds';
import * as HealthRegistries from '../targetHealthRegistry';

export function hashText(text: string): string {
  return createHash('sha1').update(text).digest('hex').slice(0, 16);
}

export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

export interface FakeConfiguration extends ConfigurationExchange {
  readonly accept: (section: ConfigurationSection) => void;
}

/** A configuration that never returns to an older revision, like that of the platform plug-in. */
export function createFakeConfiguration(): FakeConfiguration {
  const sections = new Map<string, ConfigurationSection>();
  let announcement: ConfigurationAnnouncement = { readerFence: 0, readerBeat: 0, revision: 0 };

  function mergeSection(section: ConfigurationSection): void {
    const existing = sections.get(section.name);
    if (existing === undefined || existing.revision < section.revision) {
      sections.set(section.name, section);
    }
  }

  return {
    getAnnouncement: () => announcement,
    listSectionsAfter: (revision) =>
      [...sections.values()].filter((section) => section.revision > revision),
    mergeSections(other, incoming) {
      incoming.forEach(mergeSection);
      const revision = Math.max(announcement.revision, other.revision);
      const newest =
        ConfigurationPull.compareAnnouncements(other, announcement) > 0 ? other : announcement;
      announcement = { ...newest, revision };
    },
    accept(section) {
      mergeSection(section);
      announcement = {
        readerFence: 1,
        readerBeat: announcement.readerBeat + 1,
        revision: section.revision,
      };
    },
  };
}

export interface Node {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly state: ExchangeState;
  readonly rounds: Rounds.Rounds;
  readonly configuration: FakeConfiguration;
  isPaused: boolean;
  isDown: boolean;
}

export interface NodeOptions {
  readonly name: string;
  readonly zone: string;
  readonly region?: string;
  readonly incarnation?: number;
  readonly seeds?: readonly string[];
}

export interface DeliveredCall {
  readonly to: Node;
  readonly request: PeerCall;
}

/** Maximum number of calls retained for duplicate delivery, to limit memory. */
const MAX_DELIVERED = 2_000;

export interface Fleet {
  readonly nodes: Node[];
  readonly addNode: (options: NodeOptions) => Node;
  readonly getNode: (name: string) => Node;
  readonly getNowMs: () => number;
  /** Runs the rounds of all routers for this time. */
  readonly runMs: (ms: number) => void;
  /** Calls for which this returns false are lost; tests replace it. */
  isDelivered: (from: Node, to: Node) => boolean;
  /** Calls for which this returns false take effect, but their response is lost. */
  isAnswered: () => boolean;
  /** Calls that were delivered, for tests that deliver them again. */
  readonly delivered: DeliveredCall[];
  readonly handleDuplicate: (call: DeliveredCall) => void;
}

export function createFleet(seed: number): Fleet {
  const nextRandom = createRandom(seed);
  const nodes: Node[] = [];
  let nowMs = 1_000;

  function call(from: Node, request: PeerCall): PeerCallResult {
    const to = nodes.find((node) => node.address === request.address && !node.isDown);
    const isLost = to === undefined || to.isPaused || !fleet.isDelivered(from, to);
    if (isLost) return { kind: 'failed', message: 'no answer' };
    if (fleet.delivered.length < MAX_DELIVERED) fleet.delivered.push({ to, request });
    const output = handleCall(to, request);
    return fleet.isAnswered()
      ? { kind: 'answered', output }
      : { kind: 'failed', message: 'answer lost' };
  }

  function handleCall(to: Node, request: PeerCall) {
    const { state } = to;
    if (request.procedure === 'exchange') return Handlers.handleExchange(state, request.input);
    if (request.procedure === 'mergePeers') return Handlers.handlePeers(state, request.input);
    if (request.procedure === 'listSections') return Handlers.handleSections(state, request.input);
    if (request.procedure === 'ping') return { name: to.name };
    const record = state.peers.findRecord(request.input.name);
    const ping: PeerCall = {
      procedure: 'ping',
      address: record?.address ?? '',
      input: { from: to.name },
    };
    return { isReachable: call(to, ping).kind === 'answered' };
  }

  function runTask<Outcome>(from: Node, task: PeerTask<Outcome>): Outcome {
    let step = task.next();
    while (step.done !== true) step = task.next(call(from, step.value));
    return step.value;
  }

  function runRound(node: Node): void {
    const round = node.rounds.startRound();
    for (const address of round.partners) {
      node.rounds.recordOutcome(address, runTask(node, Tasks.runExchange(node.state, address)));
    }
    for (const { suspect, helpers } of round.probes) {
      runTask(node, Tasks.runProbe(node.state, suspect, helpers));
    }
  }

  const fleet: Fleet = {
    nodes,
    isDelivered: () => true,
    isAnswered: () => true,
    delivered: [],
    handleDuplicate({ to, request }) {
      if (!to.isDown && !to.isPaused) handleCall(to, request);
    },
    getNowMs: () => nowMs,
    getNode(name) {
      const found = nodes.find((node) => node.name === name && !node.isDown);
      if (found === undefined) throw new Error(`no router ${name}`);
      return found;
    },
    addNode(options) {
      const node = createNode(options, () => nowMs, nextRandom);
      nodes.push(node);
      return node;
    },
    runMs(ms) {
      const endMs = nowMs + ms;
      while (nowMs < endMs) {
        nowMs += Partners.ROUND_MS;
        nodes.filter((node) => !node.isPaused && !node.isDown).forEach(runRound);
      }
    },
  };
  return fleet;
}

function createNode(options: NodeOptions, getNowMs: () => number, nextRandom: () => number): Node {
  const { name, zone, region = 'r1', incarnation = 1, seeds = [] } = options;
  const address = `${name}:1`;
  const configuration = createFakeConfiguration();
  const state = States.createExchangeState({
    peers: PeerRegistries.createPeerRegistry({
      process: { name, zone, region },
      address,
      incarnation,
      hashText,
    }),
    targets: HealthRegistries.createTargetHealthRegistry(name, hashText),
    detector: Detectors.createFailureDetector(),
    configuration,
    getNowMs,
    onTargetsChanged: () => undefined,
    onPeerRecord: () => undefined,
    onNewerConfiguration: () => undefined,
  });
  const rounds = Rounds.createRounds({ state, seeds, nextRandom });
  return { name, address, zone, state, rounds, configuration, isPaused: false, isDown: false };
}

/** Creates zones with this number of routers each; all routers have the same seed address. */
export function createZones(seed: number, zones: number, routers: number, regions = 1): Fleet {
  const fleet = createFleet(seed);
  for (let zone = 1; zone <= zones; zone += 1) {
    for (let router = 1; router <= routers; router += 1) {
      const region = `r${1 + (zone % regions)}`;
      fleet.addNode({ name: `z${zone}-${router}`, zone: `z${zone}`, region, seeds: ['z1-1:1'] });
    }
  }
  return fleet;
}

export function listStates(node: Node): Readonly<Record<string, string>> {
  return Object.fromEntries(node.rounds.listPeers().map(({ name, state }) => [name, state]));
}

export function listAlive(node: Node): readonly string[] {
  const peers = node.rounds.listPeers().filter(({ state }) => state === 'alive');
  return peers.map(({ name }) => name).sort();
}

export function findRecord(node: Node, name: string): PeerRecord | undefined {
  return node.state.peers.findRecord(name);
}
