/** The configuration in force, and which reported one replaces it. */
import * as Kernel from '@sequoiarill/kernel';
import type { ForwardingConfiguration, ForwardingWire, LogEvent } from '@sequoiarill/types';

import * as Events from './events';
import type { DirectoryRecord, RecordCache } from './recordCache';

export interface ConfigurationState {
  /** Undefined until the first valid configuration. */
  readonly get: () => ForwardingConfiguration | undefined;
  /** Returns false for a record that changes nothing. */
  readonly applyRecord: (record: DirectoryRecord) => boolean;
}

export interface ConfigurationStateOptions {
  readonly wire: Pick<ForwardingWire, 'decodeConfiguration'>;
  readonly logEvent: LogEvent;
  readonly recordCache: Pick<RecordCache, 'addRecord' | 'setRecord' | 'findRecord'>;
}

const { getEra, splitRevision } = Kernel.Revisions;

export function createConfigurationState(options: ConfigurationStateOptions): ConfigurationState {
  const { wire, logEvent, recordCache } = options;
  let configuration: ForwardingConfiguration | undefined;

  /**
   * Failure: a store that is restored from an older copy reports an older configuration at a newer revision,
   * until the operator has written the last one again. So across eras the version decides.
   */
  function applyRecord(record: DirectoryRecord): boolean {
    const { revision, value } = record;
    const existing = recordCache.findRecord(record.key);
    const isOtherEra = existing !== undefined && getEra(existing.revision) !== getEra(revision);
    if (value === undefined || (!isOtherEra && !recordCache.addRecord(record))) return false;
    const decoded = wire.decodeConfiguration(value);
    if (decoded.kind === 'malformed') {
      const { reason } = decoded;
      logEvent(Events.CONFIGURATION_REFUSED, { ...splitRevision(revision), reason });
      return false;
    }
    const { version, routes } = decoded.configuration;
    if (isOtherEra && !isNewerVersion(record, version)) return false;
    recordCache.setRecord(record);
    configuration = decoded.configuration;
    logEvent(Events.CONFIGURATION_APPLIED, {
      version,
      ...splitRevision(revision),
      routes: routes.length,
    });
    return true;
  }

  /** Compares with the configuration in force, which another era of the store has reported. */
  function isNewerVersion({ key, revision }: DirectoryRecord, version: number): boolean {
    if (configuration === undefined || version > configuration.version) return true;
    if (version < configuration.version) {
      const inForce = configuration.version;
      logEvent(Events.CONFIGURATION_OUTDATED, { version, ...splitRevision(revision), inForce });
      return false;
    }
    return revision > (recordCache.findRecord(key)?.revision ?? 0);
  }

  return { get: () => configuration, applyRecord };
}
