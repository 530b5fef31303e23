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

const EMPTY: Configuration = Builder.buildConfiguration(0, new Map(), new Map());

export function createConfigurationState(options: ConfigurationStateOptions): ConfigurationState {
  const { clock, logEvent, metrics, news } = options;
  const records = new Map<string, ConfigurationSection>();
  /** Revision of the newest text that was refused, by name. */
  const refused = new Map<string, number>();
  const partsBySection = new Map<string, SectionParts>();
  const vmStates = new Map<string, VmState>();
  const listeners = new Set<(configuration: Configuration) => void>();
  let configuration = EMPTY;
  let appliedAt: string | undefined;

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
    partsBySection.set(record.name, Builder.buildParts(result.content));
    return true;
  }

  function applyVm(record: ConfigurationSection): boolean {
    const schema = DocumentSchema.vmRecordSchema;
    const result = SectionParser.parseWith(schema, record.text, 'platform', record.name);
    if (result.kind === 'faults') return refuseRecord(record, result.faults);
    vmStates.set(DocumentRecords.getVmName(record), result.content.state);
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

  function updateConfiguration(revision: number): void {
    const startedMs = clock.getNowMs();
    configuration = Builder.buildConfiguration(revision, partsBySection, vmStates);
    appliedAt = clock.getWallTime();
    metrics.recordTiming('configuration.build_ms', clock.getNowMs() - startedMs);
    metrics.setGauge('configuration.revision', revision);
    logEvent(Events.CONFIGURATION_APPLIED, { revision });
    listeners.forEach((listener) => listener(configuration));
  }

  function applyRecords(incoming: readonly ConfigurationSection[]): void {
    const applied = incoming.filter(applyRecord);
    if (applied.length === 0) return;
    const revisions = applied.map((record) => record.revision);
    updateConfiguration(Math.max(configuration.revision, ...revisions));
  }

  return {
    applyRecords,
    listRecords: () => [...records.values()],
    getConfiguration: () => configuration,
    subscribeConfiguration(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    getNews: news.getNews,
    listSectionsAfter: (revision) =>
      [...records.values()].filter((record) => record.revision > revision),
    mergeSections(peerNews, sections) {
      applyRecords(sections);
      news.mergeNews(peerNews);
    },
    dumpState: () => ({
      revision: configuration.revision,
      appliedAt,
      news: news.getNews(),
      newsAgeMs: Number.isFinite(news.getAgeMs()) ? Math.round(news.getAgeMs()) : undefined,
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
    }),
  };
}
