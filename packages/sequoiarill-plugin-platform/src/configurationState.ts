/** Holds the newest accepted record of each section and VM, and the snapshot built from them. */
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

import type { AnnouncementStore } from './announcementStore';
import * as Builder from './configurationBuilder';
import type { SectionItems } from './configurationBuilder';
import * as DocumentRecords from './documentRecords';
import * as DocumentSchema from './documentSchema';
import * as Events from './events';
import * as SectionParser from './sectionParser';
import * as SnapshotPublishers from './snapshotPublisher';

export interface ConfigurationState extends ConfigurationReader, ConfigurationExchange {
  /** Applies records. Those that are not newer than the current ones have no effect. */
  readonly applyRecords: (records: readonly ConfigurationSection[]) => void;
  /** Returns the newest record revision up to `upTo`, or 0 if there is none. */
  readonly findNewestRevision: (upTo: number) => number;
  /** Lists sections of which every text received so far was rejected. */
  readonly listSectionsWithoutText: () => readonly string[];
  readonly dumpState: () => StateDump;
}

export interface ConfigurationStateOptions {
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
  readonly announcements: AnnouncementStore;
}

/** Faults logged per section. Operators see the rest with `config check`. */
const MAX_LOGGED_FAULTS = 10;

/** Above it, a full rebuild costs no more than replacing sections. */
const MAX_REPLACED_SECTIONS = 50;

/** Three times the VMs of the largest fleet. Replaced VMs stay in the list, 2,500 per day. */
const MAX_VMS = 20_000;

const EMPTY: Configuration = Builder.buildConfiguration(0, new Map(), new Map());

export function createConfigurationState(options: ConfigurationStateOptions): ConfigurationState {
  const { clock, logEvent, metrics, announcements } = options;
  const records = new Map<string, ConfigurationSection>();
  /** Revision of the newest rejected text, by section or VM name. */
  const refused = new Map<string, number>();
  const itemsBySection = new Map<string, SectionItems>();
  const vmStates = new Map<string, VmState>();
  let changes = new Map<string, Builder.SectionChange>();
  let hasVmChange = false;
  let newestRevision = 0;
  /** Whether no name is defined by two sections. */
  let hasUniqueNames = true;
  const publisher = SnapshotPublishers.createSnapshotPublisher({
    clock,
    logEvent,
    metrics,
    initial: EMPTY,
    buildNext,
  });

  /** Replaces changed sections in the last snapshot. All other changes are rare and rebuild it. */
  function buildNext(current: Configuration): Configuration {
    const sectionChanges = [...changes.values()];
    const isIncremental =
      !hasVmChange && sectionChanges.length <= MAX_REPLACED_SECTIONS && hasUniqueNames;
    changes = new Map();
    hasVmChange = false;
    const updated = isIncremental
      ? Builder.updateConfiguration(current, newestRevision, sectionChanges, vmStates)
      : undefined;
    if (updated !== undefined) return updated;
    const built = Builder.buildConfiguration(newestRevision, itemsBySection, vmStates);
    hasUniqueNames = Builder.hasUniqueNames(built, itemsBySection);
    return built;
  }

  function refuseRecord(
    record: ConfigurationSection,
    faults: readonly SectionParser.DocumentFault[],
  ): false {
    refused.set(record.name, Math.max(record.revision, refused.get(record.name) ?? 0));
    const loggedFaults = faults.slice(0, MAX_LOGGED_FAULTS).map(SectionParser.formatFault);
    const { name, revision } = record;
    logEvent(Events.SECTION_REFUSED, { section: name, revision, faults: loggedFaults });
    return false;
  }

  function applySection(record: ConfigurationSection): boolean {
    const result = SectionParser.parseSection(record.text, 'platform', record.name);
    if (result.kind === 'faults') return refuseRecord(record, result.faults);
    const before = itemsBySection.get(record.name) ?? Builder.EMPTY_ITEMS;
    const after = Builder.buildItems(result.content, before);
    itemsBySection.set(record.name, after);
    const originalItems = changes.get(record.name)?.before ?? before;
    changes.set(record.name, { before: originalItems, after });
    return true;
  }

  function applyVm(record: ConfigurationSection): boolean {
    const schema = DocumentSchema.vmRecordSchema;
    const result = SectionParser.parseWithSchema(schema, record.text, 'platform', record.name);
    if (result.kind === 'faults') return refuseRecord(record, result.faults);
    vmStates.set(DocumentRecords.getVmName(record), result.content.state);
    hasVmChange = true;
    return true;
  }

  function isAlreadyProcessed({ name, revision }: ConfigurationSection): boolean {
    const currentRevision = records.get(name)?.revision ?? 0;
    return revision <= currentRevision || revision === refused.get(name);
  }

  function removeOldestVm(): void {
    const oldest = findOldestVm(records);
    if (oldest === undefined) return;
    records.delete(oldest.name);
    vmStates.delete(DocumentRecords.getVmName(oldest));
  }

  /**
   * Failure: a text written without the checks of the commands does not parse. Its record is
   * rejected, and the last valid one stays in effect and is sent to peers, so that one invalid
   * write does not interrupt a team's service.
   */
  function applyRecord(record: ConfigurationSection): boolean {
    if (isAlreadyProcessed(record)) return false;
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
    publisher.updateThrottled();
  }

  /**
   * Includes rejected records, since they were received as well. Peers are sent this revision
   * instead of that of the store, which increases with every claim of an order, so that they do not
   * request sections that have not changed.
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
   * Failure: two watches are not ordered relative to each other, so a record can arrive before an
   * older one. A peer that received only the newer one would consider itself complete and never
   * request the older one. Records above the confirmed revision are therefore withheld until the
   * confirmation, which takes a fraction of a second.
   */
  function listSectionsAfter(revision: number): readonly ConfigurationSection[] {
    const confirmed = announcements.getAnnouncement().revision;
    return [...records.values()].filter(
      (record) => record.revision > revision && record.revision <= confirmed,
    );
  }

  return {
    applyRecords,
    findNewestRevision,
    getConfiguration: publisher.getConfiguration,
    subscribeConfiguration: publisher.subscribe,
    getAnnouncement: announcements.getAnnouncement,
    listSectionsAfter,
    mergeSections(peerAnnouncement, sections) {
      applyRecords(sections);
      announcements.mergeAnnouncement(peerAnnouncement);
    },
    listSectionsWithoutText: () =>
      [...refused.keys()].filter(
        (name) => !records.has(name) && !DocumentRecords.isVmRecord({ name }),
      ),
    dumpState() {
      const configuration = publisher.getConfiguration();
      const appliedAt = publisher.getAppliedAt();
      return buildDump({ configuration, appliedAt, announcements, records, refused, vmStates });
    },
  };
}

/** Finds the VM whose state changed longest ago, so that replaced VMs are dropped oldest first. */
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

interface DumpInput {
  readonly configuration: Configuration;
  readonly appliedAt: string | undefined;
  readonly announcements: AnnouncementStore;
  readonly records: ReadonlyMap<string, ConfigurationSection>;
  readonly refused: ReadonlyMap<string, number>;
  readonly vmStates: ReadonlyMap<string, VmState>;
}

/** Includes only names and revisions, because section texts contain hashes of API keys. */
function buildDump(input: DumpInput): StateDump {
  const { configuration, announcements, records, refused, vmStates } = input;
  const ageMs = announcements.getAgeMs();
  return {
    revision: configuration.revision,
    appliedAt: input.appliedAt,
    news: announcements.getAnnouncement(),
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
