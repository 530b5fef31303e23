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
  readonly listRecords: () => readonly ConfigurationSection[];
  readonly dumpState: () => StateDump;
}

export interface ConfigurationStateOptions {
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
  readonly news: NewsKeeper;
}

/** Faults of one section that are logged; an operator sees the rest with `config check`. */
const MAX_LOGGED_FAULTS = 10;

/** Beyond it, building anew costs no more than replacing. */
const MAX_REPLACED_SECTIONS = 50;

const EMPTY: Configuration = Builder.buildConfiguration(0, new Map(), new Map());

export function createConfigurationState(options: ConfigurationStateOptions): ConfigurationState {
  const { clock, logEvent, metrics, news } = options;
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
    refused.set(record.name, record.revision);
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

  function isOlder(record: ConfigurationSection): boolean {
    const held = records.get(record.name)?.revision ?? 0;
    const refusedRevision = refused.get(record.name) ?? 0;
    return record.revision <= Math.max(held, refusedRevision);
  }

  /**
   * Failure: text written past our checks does not parse. It shows as a refused record; the last good
   * one is kept in force and is what peers are given, so that one bad write takes no team out.
   */
  function applyRecord(record: ConfigurationSection): boolean {
    if (isOlder(record)) return false;
    const isApplied = DocumentRecords.isVmRecord(record) ? applyVm(record) : applySection(record);
    if (!isApplied) return false;
    records.set(record.name, record);
    refused.delete(record.name);
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

  function dumpState(): StateDump {
    const configuration = snapshots.getConfiguration();
    const ageMs = news.getAgeMs();
    return {
      revision: configuration.revision,
      appliedAt: snapshots.getAppliedAt(),
      news: news.getNews(),
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

  return {
    applyRecords,
    listRecords: () => [...records.values()],
    getConfiguration: snapshots.getConfiguration,
    subscribeConfiguration: snapshots.subscribe,
    getNews: news.getNews,
    listSectionsAfter: (revision) =>
      [...records.values()].filter((record) => record.revision > revision),
    mergeSections(peerNews, sections) {
      applyRecords(sections);
      news.mergeNews(peerNews);
    },
    dumpState,
  };
}
