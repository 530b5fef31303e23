/** Handles the calls of other routers. Performs no I/O. */
import * as ConfigurationPull from './configurationPull';
import type { ExchangeState } from './exchangeState';
import * as FactCodec from './factCodec';
import type {
  ExchangeInput,
  ExchangeOutput,
  PeersMessage,
  SectionsInput,
  SectionsOutput,
} from './messages';

/** Limit per response; a router that lacks more facts receives the rest in later exchanges. */
const MAX_DELTA_FACTS = 768;

export function handleExchange(state: ExchangeState, input: ExchangeInput): ExchangeOutput {
  const { peers, configuration } = state;
  state.recordContact(input.from, input.configuration.revision);
  mergeAnnouncement(state, input);
  const isSame = input.peersHash === peers.getHash();
  return {
    from: peers.getSelf().name,
    peersHash: peers.getHash(),
    configuration: configuration.getAnnouncement(),
    ...(isSame ? {} : { zoneHashes: peers.listZoneHashes() }),
    ...handleTargets(state, input),
  };
}

function mergeAnnouncement(state: ExchangeState, input: ExchangeInput): void {
  const { configuration, peers } = state;
  const own = configuration.getAnnouncement();
  if (input.configuration.revision > own.revision) {
    const sender = peers.findRecord(input.from);
    if (sender !== undefined) state.onNewerConfiguration(sender.address);
  } else if (
    state.isSameZone(input.from) &&
    ConfigurationPull.compareAnnouncements(input.configuration, own) > 0
  ) {
    configuration.mergeSections(input.configuration, []);
  }
}

/** Facts identify observers by roster index, so both routers must have the same roster. */
function handleTargets(
  state: ExchangeState,
  input: ExchangeInput,
): Pick<ExchangeOutput, 'targets'> {
  const { peers, targets } = state;
  if (input.targets?.rosterHash !== peers.getRosterHash()) return {};
  const { versions, news } = input.targets;
  const nowMs = state.getNowMs();
  const roster = peers.getRoster();
  state.onTargetsChanged(targets.mergeUpdates(FactCodec.decodeObservers(news, roster, nowMs)));
  state.recordHeartbeats(versions);
  const delta = targets.listDelta(versions, nowMs, MAX_DELTA_FACTS);
  const observers = FactCodec.encodeObservers(delta.observers, roster, nowMs);
  return { targets: { versions: [...delta.versions], observers } };
}

export function handlePeers(state: ExchangeState, input: PeersMessage): PeersMessage {
  state.mergeRecords(input.records);
  return state.buildPeersMessage(input.zones);
}

export function handleSections(state: ExchangeState, input: SectionsInput): SectionsOutput {
  return ConfigurationPull.buildChunk(state.configuration, input.after);
}
