/**
 * Creates configurations in which each version has a route and an API key of its own, so that probes can
 * tell which version is in force.
 */
import * as Standins from '@sequoiarill/standins';

/** API key that is valid in every version. */
export const CALLERS_KEY = 'key-of-callers';

/** Organisations in addition to `Standins.ORGANISATION`, which has the key of the callers. */
const FURTHER_ORGANISATIONS = ['bakery', 'library'] as const;
export const ORGANISATIONS = [Standins.ORGANISATION, ...FURTHER_ORGANISATIONS] as const;
/** Paths of the streaming routes, by priority. */
export const STREAM_PATHS = ['/advice/', '/advice-later/', '/advice-last/'] as const;

/** Path of the route of streams that may run once at most. */
export const ONCE_PATH = '/once/';

export function formatKey(organisation: string): string {
  return organisation === Standins.ORGANISATION ? CALLERS_KEY : `key-of-${organisation}`;
}

/** Changes that a configuration makes for a while. */
export const CONFIGURATION_CHANGES = [
  'routesRemoved',
  'limitsShorter',
  'organisationsChanged',
] as const;
export type ConfigurationChange = (typeof CONFIGURATION_CHANGES)[number];
export type ConfigurationChanges = ReadonlySet<ConfigurationChange>;

/** For which callers wait, and the usual time limit of their routes. */
export const TIMEOUT_MS = 8_000;
/** Longer than a stream of an engine at half the speed takes, so that limits end waits and not whole streams. */
export const SHORT_TIMEOUT_MS = 3_000;
/** After all others. */
const LATEST_PRIORITY = 9;
/** Prefixes of the routes that are removed: some streams and all reads. */
const REMOVED_PATHS: ReadonlySet<unknown> = new Set([STREAM_PATHS[2], '/reads/']);

interface DocumentParts {
  readonly routes: readonly Readonly<Record<string, unknown>>[];
  readonly tenants: readonly unknown[];
}

export function formatVersionPath(version: number): string {
  return `/version-${version}/`;
}

export function formatVersionKey(version: number): string {
  return `key-of-version-${version}`;
}

/** One organisation comes after all others, and another one is unknown. */
function listOrganisations(isChanged: boolean): readonly unknown[] {
  const [first, second] = FURTHER_ORGANISATIONS;
  const all = FURTHER_ORGANISATIONS.map((name) => ({ name, apiKeys: [formatKey(name)] }));
  if (!isChanged) return all;
  return all
    .filter(({ name }) => name !== second)
    .map((one) => (one.name === first ? { ...one, priority: LATEST_PRIORITY } : one));
}

export function formatConfiguration(version: number, changes: ConfigurationChanges): string {
  const document = Standins.createConfiguration(version, {
    timeoutMs: changes.has('limitsShorter') ? SHORT_TIMEOUT_MS : TIMEOUT_MS,
    maxAttempts: 4,
    apiKeys: [CALLERS_KEY, formatVersionKey(version)],
    furtherPrefix: formatVersionPath(version),
  });
  const { routes, tenants } = document as unknown as DocumentParts;
  const stream = routes.find(({ prefix }) => prefix === STREAM_PATHS[0]);
  const streams = STREAM_PATHS.map((prefix, priority) => ({
    ...stream,
    name: `advice-${priority}`,
    prefix,
    priority,
  }));
  const once = { ...stream, name: 'once', prefix: ONCE_PATH, streamResume: false };
  const others = routes.filter((route) => route !== stream);
  const kept = [...streams, once, ...others].filter(
    ({ prefix }) => !changes.has('routesRemoved') || !REMOVED_PATHS.has(prefix),
  );
  return JSON.stringify({
    ...document,
    routes: kept,
    tenants: [...tenants, ...listOrganisations(changes.has('organisationsChanged'))],
  });
}
