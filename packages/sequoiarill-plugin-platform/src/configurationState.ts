/** The newest accepted record of each section and VM, and the snapshot built from them. */
import type {
  Clock,
  Configuration,
  ConfigurationExchange,
  ConfigurationReader,
  ConfigurationSection,
  LogEvent,
  Metrics,
  StateDump,
  VmState,
} from '@sequoiarill/types';

import * as Builder from './configurationBuilder';
import type { SectionParts } from './configurationBuilder';
import type { NewsKeeper } from './configurationNews';
import * as DocumentRecords from './documentRecords';
import * as DocumentSchema from './documentSchema';
import * as Events from './events';
import * as SectionParser from './sectionParser';
import * as SnapshotKeepers from './snapshotKeeper';

export interface ConfigurationState extends ConfigurationReader, ConfigurationExchange {
  /** Takes in records; ones that are not newer than what is held change nothing. */
  readonly applyRecords: (records: readonly ConfigurationSection[]) => void;
  /** The newest record up to a revision; 0 when there is none. */
  readonly findNewestRevision: (upTo: number) => number;
  /** Sections of which every text seen so far was refused. */
  readonly listWithoutText: () => readonly string[];
  readonly dumpState: () => StateDump;
}

export interface ConfigurationStateOptions {
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
  readonly announcements: NewsKeeper;
}

/** Faults of one section that are logged; an operator sees the rest with `config check`. */
const MAX_LOGGED_FAULTS = 10;

/** Beyond it, building anew costs no more than replacing. */
const MAX_REPLACED_SECTIONS = 50;

/** Three times the VMs of the largest fleet; those replaced stay in the list, 2,500 a day. */
const MAX_VMS = 20_000;

const EMPTY: Configuration = Builder.buildConfiguration(0, new Map(), new Map());

export function createConfigurationState(options: ConfigurationStateOptions): ConfigurationState {
  const { clock, logEvent, metrics, announcements: news } = options;
  const records = new Map<string, ConfigurationSection>();
  /** Revision of the newest text that was refused, by name. */
  const refused = new Map<string, number>();
  const partsBySection = new Map<string, SectionParts>();
  const vmStates = new Map<string, VmState>();
  let changes = new Map<string, Builder.PartsChange>();
  let hasVmChange = false;
  let newestRevision = 0;
  /** No name is claimed by two sections. */
  let isClear = true;
  const snapshots = SnapshotKeepers.createSnapshotKeeper({
    clock,
    logEvent,
    metrics,
    first: EMPTY,
    buildNext,
  });

  /** Sections alone are replaced in the last snapshot; all else is rare and built from the ground. */
  function buildNext(current: Configuration): Configuration {
    const taken = [...changes.values()];
    const isSmall = !hasVmChange && taken.length <= MAX_REPLACED_SECTIONS && isClear;
    changes = new Map();
    hasVmChange = false;
    const updated = isSmall
      ? Builder.updateConfiguration(current, newestRevision, taken, vmStates)
      : undefined;
    if (updated !== undefined) return updated;
    const built = Builder.buildConfiguration(newestRevision, partsBySection, vmStates);
    isClear = Builder.isUnambiguous(built, partsBySection);
    return built;
  }

  function refuseRecord(
    record: ConfigurationSection,
    faults: readonly SectionParser.DocumentFault[],
  ): false {
    refused.set(record.name, Math.max(record.revision, refused.get(record.name) ?? 0));
    const shown = faults.slice(0, MAX_LOGGED_FAULTS).map(SectionParser.formatFault);
    const { name, revision } = record;
    logEvent(Events.SECTION_REFUSED, { section: name, revision, faults: shown });
    return false;
  }

  function applySection(record: ConfigurationSection): boolean {
    const result = SectionParser.parseSection(record.text, 'platform', record.name);
    if (result.kind === 'faults') return refuseRecord(record, result.faults);
    const before = partsBySection.get(record.name) ?? Builder.EMPTY_PARTS;
    const after = Builder.buildParts(result.content, before);
    partsBySection.set(record.name, after);
    const first = changes.get(record.name)?.before ?? before;
    changes.set(record.name, { before: first, after });
    return true;
  }

  function applyVm(record: ConfigurationSection): boolean {
    const schema = DocumentSchema.vmRecordSchema;
    const result = SectionParser.parseWith(schema, record.text, 'platform', record.name);
    if (result.kind === 'faults') return refuseRecord(record, result.faults);
    vmStates.set(DocumentRecords.getVmName(record), result.content.state);
    hasVmChange = true;
    return true;
  }

  function isKnown({ name, revision }: ConfigurationSection): boolean {
    const held = records.get(name)?.revision ?? 0;
    return revision <= held || revision === refused.get(name);
  }

  function removeOldestVm(): void {
    const oldest = findOldestVm(records);
    if (oldest === undefined) return;
    records.delete(oldest.name);
    vmStates.delete(DocumentRecords.getVmName(oldest));
  }

  /**
   * Failure: text written past our checks does not parse. It shows as a refused record; the last good
   * one is kept in force and is what peers are given, so that one bad write takes no team out.
   */
  function applyRecord(record: ConfigurationSection): boolean {
    if (isKnown(record)) return false;
    const isApplied = DocumentRecords.isVmRecord(record) ? applyVm(record) : applySection(record);
    if (!isApplied) return false;
    records.set(record.name, record);
    if (record.revision > (refused.get(record.name) ?? 0)) refused.delete(record.name);
    if (vmStates.size > MAX_VMS) removeOldestVm();
    return true;
  }

  function applyRecords(incoming: readonly ConfigurationSection[]): void {
    const applied = incoming.filter(applyRecord);
    if (applied.length === 0) return;
    newestRevision = applied.reduce(
      (newest, { revision }) => Math.max(newest, revision),
      newestRevision,
    );
    snapshots.updateSoon();
  }

  /**
   * Refused records count too: they are known. Telling peers this revision and not that of the store,
   * which rises with every claim of an order, spares them questions that bring nothing.
   */
  function findNewestRevision(upTo: number): number {
    let newest = 0;
    for (const { revision } of records.values()) {
      if (revision <= upTo && revision > newest) newest = revision;
    }
    for (const revision of refused.values()) {
      if (revision <= upTo && revision > newest) newest = revision;
    }
    return newest;
  }

  /**
   * Failure: two watches are not ordered against each other, so a record can arrive before an older
   * one. A peer that is given the newer one would take itself for complete and never ask for the
   * older. So records above the confirmed revision wait for the confirmation, a fraction of a second.
   */
  function listSectionsAfter(revision: number): readonly ConfigurationSection[] {
    const confirmed = news.getAnnouncement().revision;
    return [...records.values()].filter(
      (record) => record.revision > revision && record.revision <= confirmed,
    );
  }

  return {
    applyRecords,
    findNewestRevision,
    getConfiguration: snapshots.getConfiguration,
    subscribeConfiguration: snapshots.subscribe,
    getAnnouncement: news.getAnnouncement,
    listSectionsAfter,
    mergeSections(peerNews, sections) {
      applyRecords(sections);
      news.mergeNews(peerNews);
    },
    listWithoutText: () =>
      [...refused.keys()].filter(
        (name) => !records.has(name) && !DocumentRecords.isVmRecord({ name }),
      ),
    dumpState() {
      const configuration = snapshots.getConfiguration();
      const appliedAt = snapshots.getAppliedAt();
      return dumpKnown({ configuration, appliedAt, news, records, refused, vmStates });
    },
  };
}

/** Whose state changed longest ago: of those that are gone, the first to be forgotten. */
function findOldestVm(
  records: ReadonlyMap<string, ConfigurationSection>,
): ConfigurationSection | undefined {
  let oldest: ConfigurationSection | undefined;
  for (const record of records.values()) {
    const isCandidate = DocumentRecords.isVmRecord(record);
    if (isCandidate && record.revision < (oldest?.revision ?? Infinity)) oldest = record;
  }
  return oldest;
}

interface Known {
  readonly configuration: Configuration;
  readonly appliedAt: string | undefined;
  readonly news: NewsKeeper;
  readonly records: ReadonlyMap<string, ConfigurationSection>;
  readonly refused: ReadonlyMap<string, number>;
  readonly vmStates: ReadonlyMap<string, VmState>;
}

/** Names and revisions only: texts hold hashes of keys. */
function dumpKnown(known: Known): StateDump {
  const { configuration, news, records, refused, vmStates } = known;
  const ageMs = news.getAgeMs();
  return {
    revision: configuration.revision,
    appliedAt: known.appliedAt,
    news: news.getAnnouncement(),
    newsAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    sections: [...records.values()]
      .filter((record) => !DocumentRecords.isVmRecord(record))
      .map(({ name, revision }) => ({ name, revision })),
    refused: [...refused].map(([name, revision]) => ({ name, revision })),
    counts: {
      models: configuration.models.size,
      organisations: configuration.organisations.size,
      services: configuration.services.size,
      targets: configuration.targets.size,
      leavingVms: [...vmStates.values()].filter((state) => state === 'leaving').length,
    },
  };
}
