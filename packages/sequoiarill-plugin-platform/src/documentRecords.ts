/**
 * Records that are watched in the platform and replicated between routers: sections of the
 * document, and the VMs of the platform's own list. Both have the same form, so they are handled
 * alike.
 */
import type { ConfigurationSection, KeyChange, KeyValueEntry } from '@sequoiarill/types';

import * as StoredSection from './storedSection';

/** Section names contain no colon, so a VM record is never mistaken for a section. */
const VM_PREFIX = 'vm:';

export function isVmRecord(record: Pick<ConfigurationSection, 'name'>): boolean {
  return record.name.startsWith(VM_PREFIX);
}

export function getVmName(record: Pick<ConfigurationSection, 'name'>): string {
  return record.name.slice(VM_PREFIX.length);
}

/** One of the two key ranges in the platform that are watched. */
export interface RecordSource {
  readonly prefix: string;
  readonly decodeName: (key: string) => string;
  readonly decodeText: (value: string) => string;
  /** Text of the record that stands for a removed key. */
  readonly removedText: string;
}

export const SECTION_SOURCE: RecordSource = {
  prefix: StoredSection.SECTIONS_PREFIX,
  decodeName: (key) => key.slice(StoredSection.SECTIONS_PREFIX.length),
  decodeText: (value) => StoredSection.decodeEnvelope(value).text,
  removedText: StoredSection.TOMBSTONE_TEXT,
};

export const VM_SOURCE: RecordSource = {
  prefix: StoredSection.VMS_PREFIX,
  decodeName: (key) => `${VM_PREFIX}${key.slice(StoredSection.VMS_PREFIX.length)}`,
  decodeText: (value) => value,
  removedText: '{"state":"live"}',
};

export const SOURCES: readonly RecordSource[] = [SECTION_SOURCE, VM_SOURCE];

export function decodeEntry(source: RecordSource, entry: KeyValueEntry): ConfigurationSection {
  return {
    name: source.decodeName(entry.key),
    revision: entry.revision,
    text: source.decodeText(entry.value),
  };
}

export function decodeChange(source: RecordSource, change: KeyChange): ConfigurationSection {
  if (change.entry !== undefined) return decodeEntry(source, change.entry);
  return {
    name: source.decodeName(change.key),
    revision: change.revision,
    text: source.removedText,
  };
}
