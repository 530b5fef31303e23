/** Transfers the configuration document between routers. */
import type {
  ConfigurationExchange,
  ConfigurationAnnouncement,
  ConfigurationSection,
} from '@sequoiarill/types';

import type { PeerCall, PeerTask, SectionsOutput } from './messages';

/**
 * Size of one response, in characters. A section may have 1 MB, so a response contains at least one
 * section and may exceed the limit by it; a larger document takes several responses.
 */
const CHUNK_CHARACTERS = 262_144;
/** Limit per exchange; the next exchange continues, possibly with another peer. */
const MAX_CHUNKS_PER_EXCHANGE = 64;

/** A peer and the announcement that it sent in an exchange. */
export interface AnnouncementSource {
  readonly address: string;
  readonly announcement: ConfigurationAnnouncement;
  readonly isSameZone: boolean;
}

export function compareAnnouncements(
  left: ConfigurationAnnouncement,
  right: ConfigurationAnnouncement,
): number {
  return (
    left.readerFence - right.readerFence ||
    left.readerBeat - right.readerBeat ||
    left.revision - right.revision
  );
}

/**
 * Lists the oldest sections first, so that the receiver is complete up to the last one's revision.
 * Sections of one revision were accepted together and are never split.
 */
export function buildChunk(exchange: ConfigurationExchange, after: number): SectionsOutput {
  // Read the announcement first: a section accepted in between is then early, but never missing.
  const configuration = exchange.getAnnouncement();
  const sections = [...exchange.listSectionsAfter(after)].sort(
    (left, right) => left.revision - right.revision,
  );
  const chunk: ConfigurationSection[] = [];
  let characters = 0;
  for (const section of sections) {
    const isFull = characters >= CHUNK_CHARACTERS;
    if (isFull && section.revision !== chunk.at(-1)?.revision) break;
    chunk.push(section);
    characters += section.text.length;
  }
  return { configuration, sections: chunk, isComplete: chunk.length === sections.length };
}

/**
 * Selects the part of a peer's announcement that this router adopts. Fencing number and heartbeat
 * belong to the zone reader of one zone. Those of another zone's reader may be higher; they would
 * make the confirmations of the local reader look old, and the zone would read from the platform
 * repeatedly. Only the revision is adopted from other zones.
 */
export function selectAnnouncement(
  own: ConfigurationAnnouncement,
  peer: ConfigurationAnnouncement,
  isSameZone: boolean,
): ConfigurationAnnouncement {
  return isSameZone ? peer : { ...own, revision: Math.max(own.revision, peer.revision) };
}

/**
 * Pulls newer sections from a peer. An incomplete document is merged with the reader's fencing
 * number and heartbeat that this router already has: only the complete document may adopt those of
 * the peer, or `config status` would show a router as up to date that lacks sections.
 */
export function* runConfigurationPull(
  exchange: ConfigurationExchange,
  { address, announcement: peer, isSameZone }: AnnouncementSource,
): PeerTask<boolean> {
  const own = exchange.getAnnouncement();
  if (peer.revision <= own.revision) {
    if (isSameZone && compareAnnouncements(peer, own) > 0) exchange.mergeSections(peer, []);
    return true;
  }
  let after = own.revision;
  for (let chunk = 0; chunk < MAX_CHUNKS_PER_EXCHANGE; chunk += 1) {
    const call: PeerCall = { procedure: 'listSections', address, input: { after } };
    const result = yield call;
    if (result.kind === 'failed') return false;
    const output = result.output as SectionsOutput;
    const last = output.sections.at(-1);
    if (output.isComplete || last === undefined) {
      const merged = selectAnnouncement(
        exchange.getAnnouncement(),
        output.configuration,
        isSameZone,
      );
      exchange.mergeSections(merged, output.sections);
      return true;
    }
    exchange.mergeSections(
      { ...exchange.getAnnouncement(), revision: last.revision },
      output.sections,
    );
    after = last.revision;
  }
  return true;
}
