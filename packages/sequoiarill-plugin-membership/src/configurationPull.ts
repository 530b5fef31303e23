/** How routers bring each other the operators' document. */
import type {
  ConfigurationExchange,
  ConfigurationAnnouncement,
  ConfigurationSection,
} from '@sequoiarill/types';

import type { PeerCall, PeerTask, SectionsOutput } from './messages';

/**
 * Text of one answer, in characters. One section may be a megabyte, so an answer holds at least one
 * and may be larger by that one; a document far beyond a megabyte comes in several answers.
 */
const CHUNK_CHARACTERS = 262_144;
/** One exchange asks for at most so many; the next exchange goes on, maybe with another peer. */
const MAX_CHUNKS = 64;

/** A peer that showed news in an exchange. */
export interface NewsSource {
  readonly address: string;
  readonly news: ConfigurationAnnouncement;
  readonly isZoneMate: boolean;
}

export function compareNews(
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
 * The oldest sections first, so that the receiver knows everything up to the last one's revision.
 * Sections of one revision were accepted together and are never split.
 */
export function listChunk(exchange: ConfigurationExchange, after: number): SectionsOutput {
  // News first: a section accepted in between is then only early, never missing.
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
 * What a router takes over of a peer's news. Fences and beats are those of a zone's own reader:
 * those of another zone's reader, which may be higher, would make the own reader's confirmations
 * look old, and the zone would call the platform over and over. Across zones only sections count.
 */
export function selectNews(
  own: ConfigurationAnnouncement,
  peer: ConfigurationAnnouncement,
  isZoneMate: boolean,
): ConfigurationAnnouncement {
  return isZoneMate ? peer : { ...own, revision: Math.max(own.revision, peer.revision) };
}

/**
 * Takes over what a peer has. A part of the document is merged under the reader this router heard
 * of last: only the whole may claim the peer's freshness, or `config status` would show a router
 * as up to date that lacks sections.
 */
export function* runConfigurationPull(
  exchange: ConfigurationExchange,
  { address, news, isZoneMate }: NewsSource,
): PeerTask<boolean> {
  const own = exchange.getAnnouncement();
  if (news.revision <= own.revision) {
    if (isZoneMate && compareNews(news, own) > 0) exchange.mergeSections(news, []);
    return true;
  }
  let after = own.revision;
  for (let chunk = 0; chunk < MAX_CHUNKS; chunk += 1) {
    const call: PeerCall = { procedure: 'listSections', address, input: { after } };
    const answer = yield call;
    if (answer.kind === 'failed') return false;
    const output = answer.output as SectionsOutput;
    const last = output.sections.at(-1);
    if (output.isComplete || last === undefined) {
      const merged = selectNews(exchange.getAnnouncement(), output.configuration, isZoneMate);
      exchange.mergeSections(merged, output.sections);
      return true;
    }
    exchange.mergeSections({ ...exchange.getAnnouncement(), revision: last.revision }, output.sections);
    after = last.revision;
  }
  return true;
}
