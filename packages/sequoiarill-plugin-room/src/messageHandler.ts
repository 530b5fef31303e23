/** Handles the messages of other routers and decides what to answer. */
import type { RoomFacts, RoomMessage, RouterPeers } from '@sequoiarill/types';

import type { RefusalLog } from './refusalLog';
import type { ServiceState } from './serviceState';

export interface MessageHandlerOptions {
  readonly zone: string;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters'>;
  /** Undefined where the service is not active here. */
  readonly findState: (service: string) => ServiceState | undefined;
  readonly refusals: RefusalLog;
  readonly recordOutdated: () => void;
}

/** Returns why the message cannot be from the router that it names; undefined where it can. */
function explainRefusal(
  { peers, zone }: Pick<MessageHandlerOptions, 'peers' | 'zone'>,
  message: RoomMessage,
): string | undefined {
  if (message.router === peers.self) return 'the sender has the address of the receiver';
  const sender = peers.listRouters().find(({ address }) => address === message.router);
  if (sender === undefined) return 'the sender is not in the list of routers';
  if (sender.zone !== message.zone) return `the sender is in zone ${sender.zone}`;
  const isOwnZone = sender.zone === zone;
  // The last report goes to another zone where no router is left in the sender's.
  if (message.scope === 'router' && !isOwnZone && !message.isEnding) {
    return 'the report is of another zone';
  }
  if (message.scope === 'zone' && isOwnZone) return 'the sum is of the zone of the receiver';
  return undefined;
}

/** Throws where the message is refused, so that the call fails and the sender tries another router. */
export function createMessageHandler(
  options: MessageHandlerOptions,
): (message: RoomMessage) => readonly RoomFacts[] {
  const { findState, refusals, recordOutdated } = options;

  return (message) => {
    const refusal = explainRefusal(options, message);
    if (refusal !== undefined) {
      refusals.recordRefusal(message.router, refusal);
      throw new Error(refusal);
    }
    const states = message.facts.flatMap((facts) => {
      const state = findState(facts.service);
      if (state === undefined) return [];
      if (!state.recordMessage(message, facts)) recordOutdated();
      return state;
    });
    if (message.isEnding) return [];
    return states.map((state) =>
      message.scope === 'router' ? state.buildDigest() : state.buildZoneSum(),
    );
  };
}
