/** Tasks in which a router asks its peers, written straight down. */
import * as ConfigurationPull from './configurationPull';
import type { ExchangeState } from './exchangeState';
import * as FactCodec from './factCodec';
import type {
  ExchangeOutput,
  PeerCall,
  PeersMessage,
  PeerTask,
  PingOutput,
  ProbeOutput,
} from './messages';
import type { PeerRecord } from './peerRecord';

export interface ExchangeDone {
  readonly kind: 'done';
  /** Name the answering router gave. */
  readonly name: string;
}

export interface ExchangeFailed {
  readonly kind: 'failed';
  readonly message: string;
}

export type ExchangeOutcome = ExchangeDone | ExchangeFailed;

/** Makes two routers equal, as far as one round of messages allows: routers, facts, document. */
export function* runExchange(state: ExchangeState, address: string): PeerTask<ExchangeOutcome> {
  const { configuration } = state;
  const output = yield* callExchange(state, address);
  if (typeof output === 'string') return { kind: 'failed', message: output };
  if (output.zoneHashes !== undefined) {
    const isMerged = yield* runPeersMerge(state, address, output.zoneHashes);
    // Once the rosters agree, facts can be told apart by their place in it.
    const isZoneMate = state.isZoneMate(output.from);
    if (isMerged && isZoneMate && output.targets === undefined) yield* callExchange(state, address);
  }
  yield* ConfigurationPull.runConfigurationPull(configuration, {
    address,
    news: output.configuration,
    isZoneMate: state.isZoneMate(output.from),
  });
  return { kind: 'done', name: output.from };
}

function* callExchange(state: ExchangeState, address: string): PeerTask<ExchangeOutput | string> {
  const input = state.buildInput();
  const call: PeerCall = { procedure: 'exchange', address, input };
  const answer = yield call;
  if (answer.kind === 'failed') return answer.message;
  const output = answer.output as ExchangeOutput;
  // While the call was out this router may have learned of others; places would then be wrong.
  const isComparable = input.targets?.rosterHash === state.peers.getRosterHash();
  state.recordContact(output.from, output.configuration.revision);
  if (isComparable) mergeTargets(state, output);
  return output;
}

function mergeTargets(state: ExchangeState, output: ExchangeOutput): void {
  if (output.targets === undefined) return;
  const { versions, observers } = output.targets;
  const nowMs = state.getNowMs();
  const decoded = FactCodec.decodeObservers(observers, state.peers.getRoster(), nowMs);
  state.onTargetsChanged(state.targets.mergeDelta({ versions, observers: decoded }));
  state.recordHeartbeats(versions);
}

type Hashes = Readonly<Record<string, string>>;

function* runPeersMerge(
  state: ExchangeState,
  address: string,
  zoneHashes: Hashes,
): PeerTask<boolean> {
  const zones = listDifferences(state.peers.listZoneHashes(), zoneHashes);
  const call: PeerCall = { procedure: 'mergePeers', address, input: state.buildPeers(zones) };
  const answer = yield call;
  if (answer.kind === 'failed') return false;
  state.mergeRecords((answer.output as PeersMessage).records);
  return true;
}

function listDifferences(left: Hashes, right: Hashes): readonly string[] {
  const zones = new Set([...Object.keys(left), ...Object.keys(right)]);
  return [...zones].filter((zone) => left[zone] !== right[zone]);
}

/** Asks a silent router itself, then by way of others, which may still reach it. */
export function* runProbe(
  state: ExchangeState,
  suspect: PeerRecord,
  helpers: readonly PeerRecord[],
): PeerTask<void> {
  const { name, address } = suspect;
  const from = state.peers.getSelf().name;
  const ping: PeerCall = { procedure: 'ping', address, input: { from } };
  const answer = yield ping;
  // Another router may have the address of one that was replaced.
  if (answer.kind === 'answered' && (answer.output as PingOutput).name === name) {
    state.detector.recordAnswer(name, state.getNowMs());
    return;
  }
  let denials = 0;
  for (const helper of helpers) {
    const probe: PeerCall = { procedure: 'probe', address: helper.address, input: { name } };
    const opinion = yield probe;
    if (opinion.kind === 'failed') continue;
    if ((opinion.output as ProbeOutput).isReachable) {
      state.detector.recordAnswer(name, state.getNowMs());
      return;
    }
    denials += 1;
  }
  // A router that reaches nobody is itself cut off and must not declare others dead.
  if (denials > 0 || helpers.length === 0) state.detector.recordFailedProbe(name);
}
