/** What a router answers its peers. Pure. */
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

/** Facts of one answer; a router that was away gets the rest with its next exchanges. */
const MAX_DELTA_FACTS = 768;

export function handleExchange(state: ExchangeState, input: ExchangeInput): ExchangeOutput {
  const { peers, configuration } = state;
  state.recordContact(input.from, input.configuration.revision);
  mergeConfigurationNews(state, input);
  const isSame = input.peersHash === peers.getHash();
  return {
    from: peers.getSelf().name,
    peersHash: peers.getHash(),
    configuration: configuration.getAnnouncement(),
    ...(isSame ? {} : { zoneHashes: peers.listZoneHashes() }),
    ...handleTargets(state, input),
  };
}

function mergeConfigurationNews(state: ExchangeState, input: ExchangeInput): void {
  const { configuration, peers } = state;
  const own = configuration.getAnnouncement();
  if (input.configuration.revision > own.revision) {
    const sender = peers.findRecord(input.from);
    if (sender !== undefined) state.onNewerConfiguration(sender.address);
  } else if (
    state.isZoneMate(input.from) &&
    ConfigurationPull.compareNews(input.configuration, own) > 0
  ) {
    configuration.mergeSections(input.configuration, []);
  }
}

/** Facts only make sense between routers of one zone that number its observers alike. */
function handleTargets(
  state: ExchangeState,
  input: ExchangeInput,
): Pick<ExchangeOutput, 'targets'> {
  const { peers, targets } = state;
  if (input.targets?.rosterHash !== peers.getRosterHash()) return {};
  const { versions, news } = input.targets;
  const nowMs = state.getNowMs();
  const roster = peers.getRoster();
  state.onTargetsChanged(targets.mergeNews(FactCodec.decodeObservers(news, roster, nowMs)));
  state.recordHeartbeats(versions);
  const delta = targets.listDelta(versions, nowMs, MAX_DELTA_FACTS);
  const observers = FactCodec.encodeObservers(delta.observers, roster, nowMs);
  return { targets: { versions: [...delta.versions], observers } };
}

export function handlePeers(state: ExchangeState, input: PeersMessage): PeersMessage {
  state.mergeRecords(input.records);
  return state.buildPeers(input.zones);
}

export function handleSections(state: ExchangeState, input: SectionsInput): SectionsOutput {
  return ConfigurationPull.listChunk(state.configuration, input.after);
}
