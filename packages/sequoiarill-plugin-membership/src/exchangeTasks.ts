/** Tasks that call peers, written as generators that yield their calls. */
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
  /** Name reported by the router that responded. */
  readonly name: string;
}

export interface ExchangeFailed {
  readonly kind: 'failed';
  readonly message: string;
}

export type ExchangeOutcome = ExchangeDone | ExchangeFailed;

/** Synchronises router records, facts and configuration with a peer in one round of messages. */
export function* runExchange(state: ExchangeState, address: string): PeerTask<ExchangeOutcome> {
  const { configuration } = state;
  const output = yield* callExchange(state, address);
  if (typeof output === 'string') return { kind: 'failed', message: output };
  if (output.zoneHashes !== undefined) {
    const isMerged = yield* runPeersMerge(state, address, output.zoneHashes);
    // Once the rosters agree, their indexes identify observers, so facts can be exchanged.
    const isSameZone = state.isSameZone(output.from);
    if (isMerged && isSameZone && output.targets === undefined) yield* callExchange(state, address);
  }
  yield* ConfigurationPull.runConfigurationPull(configuration, {
    address,
    announcement: output.configuration,
    isSameZone: state.isSameZone(output.from),
  });
  return { kind: 'done', name: output.from };
}

function* callExchange(state: ExchangeState, address: string): PeerTask<ExchangeOutput | string> {
  const input = state.buildExchangeInput();
  const call: PeerCall = { procedure: 'exchange', address, input };
  const result = yield call;
  if (result.kind === 'failed') return result.message;
  const output = result.output as ExchangeOutput;
  // The roster may have changed during the call; its indexes would then be wrong.
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
  const zones = listDifferentZones(state.peers.listZoneHashes(), zoneHashes);
  const call: PeerCall = {
    procedure: 'mergePeers',
    address,
    input: state.buildPeersMessage(zones),
  };
  const result = yield call;
  if (result.kind === 'failed') return false;
  state.mergeRecords((result.output as PeersMessage).records);
  return true;
}

function listDifferentZones(left: Hashes, right: Hashes): readonly string[] {
  const zones = new Set([...Object.keys(left), ...Object.keys(right)]);
  return [...zones].filter((zone) => left[zone] !== right[zone]);
}

/** Probes a suspected router directly, then through helpers that may still reach it. */
export function* runProbe(
  state: ExchangeState,
  suspect: PeerRecord,
  helpers: readonly PeerRecord[],
): PeerTask<void> {
  const { name, address } = suspect;
  const from = state.peers.getSelf().name;
  const ping: PeerCall = { procedure: 'ping', address, input: { from } };
  const result = yield ping;
  // Another router may have taken over the address of a replaced one.
  if (result.kind === 'answered' && (result.output as PingOutput).name === name) {
    state.detector.recordContact(name, state.getNowMs());
    return;
  }
  let unreachableReports = 0;
  for (const helper of helpers) {
    const probe: PeerCall = { procedure: 'probe', address: helper.address, input: { name } };
    const probeResult = yield probe;
    if (probeResult.kind === 'failed') continue;
    if ((probeResult.output as ProbeOutput).isReachable) {
      state.detector.recordContact(name, state.getNowMs());
      return;
    }
    unreachableReports += 1;
  }
  // A router that reaches no helper may itself be partitioned and must not declare others dead.
  if (unreachableReports > 0 || helpers.length === 0) state.detector.recordFailedProbe(name);
}
