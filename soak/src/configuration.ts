/**
 * Creates configurations in which each version has a route and an API key of its own, so that probes can
 * tell which version is in force.
 */
import * as Standins from '@sequoiarill/standins';

/** API key that is valid in every version. */
export const CALLERS_KEY = 'key-of-callers';

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
  return JSON.stringify(document);
}
