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

export function formatKey(organisation: string): string {
  return organisation === Standins.ORGANISATION ? CALLERS_KEY : `key-of-${organisation}`;
}

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

export function formatConfiguration(version: number): string {
  const document = Standins.createConfiguration(version, {
    timeoutMs: 8_000,
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
  const others = routes.filter((route) => route !== stream);
  const further = FURTHER_ORGANISATIONS.map((name) => ({ name, apiKeys: [formatKey(name)] }));
  return JSON.stringify({
    ...document,
    routes: [...streams, ...others],
    tenants: [...tenants, ...further],
  });
}
