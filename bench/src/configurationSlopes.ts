/**
 * Measures what the configuration costs a router at several numbers of organisations: processor time
 * and bytes of one change, and memory. The largest number is the size that the system is designed for.
 */
import { createHash } from 'node:crypto';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import * as Kernel from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';
import type { ConfigurationSection } from '@sequoiarill/types';

export interface ConfigurationSlope {
  readonly role: 'configuration';
  /** Number of organisations; targets and sections grow in proportion. */
  readonly size: number;
  /** Processor time from the new text of one section to the snapshot in force, in milliseconds. */
  readonly cpuMs: number;
  /** Memory of the records and the snapshot, in megabytes. */
  readonly memoryMB: number;
  /** Bytes of text that a router receives for a change of one section. */
  readonly bytes: number;
}

const SIZES = [650, 1_625, 3_250, 6_500] as const;
const ORGANISATIONS = 6_500;
const TARGETS = 6_700;
const SECTIONS = 300;
const MODELS = 8;
const ZONES = 18;
const KEYS_PER_ORGANISATION = 2;
const SLOTS_PER_ENGINE = 256;
/** Sufficient for a stable mean after the compiler has warmed up. */
const WARM_UP_CHANGES = 20;
const MEASURED_CHANGES = 50;
const MICROS_PER_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
const STALE_AFTER_MS = 3_000;

function hashName(name: string): string {
  return createHash('sha256').update(name).digest('hex');
}

function buildOrganisation(name: string, revision: number): object {
  const keys = Array.from({ length: KEYS_PER_ORGANISATION }, (unused, index) => ({
    id: `${name.replace('-', '')}k${index}`,
    salt: hashName(`${name}-${index}`).slice(0, 32),
    hash: hashName(`${name}-${index}-${revision}`),
  }));
  const models = ['model-0', 'model-1', 'model-2'];
  return { models, keys, weight: 1 + (revision % 9), limits: { tokensPerSecond: 5_000 } };
}

function buildVm(index: number): object {
  const address = `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${index % 250}:80`;
  const models = [`model-${index % MODELS}`];
  const engines = {
    [`engine-${index}`]: { address, models, slots: SLOTS_PER_ENGINE, checksFencing: true },
  };
  return { zone: `zone-${index % ZONES}`, engines };
}

/** Builds one section with its share of the organisations and of the VMs. */
function buildSection(
  index: number,
  sections: number,
  size: number,
  revision: number,
): ConfigurationSection {
  const targets = Math.round((size * TARGETS) / ORGANISATIONS);
  const organisations: Record<string, object> = {};
  const vms: Record<string, object> = {};
  for (let item = index; item < size; item += sections) {
    organisations[`org-${item}`] = buildOrganisation(`org-${item}`, revision);
  }
  for (let item = index; item < targets; item += sections) vms[`vm-${item}`] = buildVm(item);
  const models = Object.fromEntries(
    Array.from({ length: index === 0 ? MODELS : 0 }, (unused, model) => [
      `model-${model}`,
      { version: 'v1', contextTokens: 131_072 },
    ]),
  );
  const text = JSON.stringify({ models, organisations, vms });
  return { name: `team-${index}`, revision, text };
}

/**
 * Creates a state whose clock stands still, so that builds are not merged and each change is measured
 * with a build of its own.
 */
function createState(): Platform.ConfigurationState {
  const clock = { ...Kernel.createSystemClock(), getNowMs: () => 0 };
  return Platform.createConfigurationState({
    clock,
    logEvent: () => undefined,
    metrics: Kernel.createMetrics(undefined, {}),
    announcements: Platform.createAnnouncementStore(clock, STALE_AFTER_MS),
  });
}

function getCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROS_PER_MS;
}

/** Measures the heap in use after a garbage collection. */
function measureHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
}

function measureSize(size: number): ConfigurationSlope {
  const sections = Math.max(1, Math.round((size * SECTIONS) / ORGANISATIONS));
  const bytesBefore = measureHeapBytes();
  const state = createState();
  for (let index = 0; index < sections; index += 1) {
    state.applyRecords([buildSection(index, sections, size, index + 1)]);
  }
  const heldBytes = measureHeapBytes() - bytesBefore;
  const changes = Array.from({ length: WARM_UP_CHANGES + MEASURED_CHANGES }, (unused, index) =>
    buildSection(index % sections, sections, size, sections + 1 + index),
  );
  changes.slice(0, WARM_UP_CHANGES).forEach((change) => state.applyRecords([change]));
  const measured = changes.slice(WARM_UP_CHANGES);
  const startedMs = getCpuMs();
  measured.forEach((change) => state.applyRecords([change]));
  const cpuMs = (getCpuMs() - startedMs) / measured.length;
  const bytes = measured.reduce((sum, { text }) => sum + Buffer.byteLength(text), 0);
  return {
    role: 'configuration',
    size,
    cpuMs: Number(cpuMs.toFixed(3)),
    memoryMB: Number((heldBytes / BYTES_PER_MB).toFixed(2)),
    bytes: Math.round(bytes / measured.length),
  };
}

/** Returns one row for each size, smallest first. */
export function measureConfigurationSlopes(): readonly ConfigurationSlope[] {
  // The first run is discarded, since it includes the time of the compiler.
  measureSize(SIZES[0]);
  return SIZES.map(measureSize);
}
