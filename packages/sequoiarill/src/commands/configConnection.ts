/**
 * Connects the command line to the platform, by its address or with the settings file of a router.
 */
import { readFileSync } from 'node:fs';

import * as Kernel from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';
import type { Plugin } from '@sequoiarill/types';
import * as Zod from 'zod';

export interface ConnectionOptions {
  readonly platform?: string;
  readonly keyPrefix?: string;
  readonly settings?: string;
}

export type Connection =
  | ({ readonly kind: 'open' } & Platform.PlatformConnection)
  | { readonly kind: 'faults'; readonly lines: readonly string[] };

type SettingsOutcome =
  | { readonly kind: 'settings'; readonly settings: Platform.ConnectionSettings }
  | { readonly kind: 'faults'; readonly lines: readonly string[] };

export const DEFAULT_KEY_PREFIX = '/sequoiarill/';
const PLATFORM_HINT = 'name the platform: --platform IP:PORT or --settings FILE';

/**
 * Creates a placeholder for another plug-in, so that its settings section is accepted unchecked.
 */
function createPassThroughPlugin(name: string): Plugin {
  return {
    name,
    settingsSchema: Zod.unknown(),
    provides: [],
    needs: [],
    events: [],
    createInstance: () => ({ dumpState: () => ({}) }),
  };
}

function loadFile(file: string): SettingsOutcome {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    return { kind: 'faults', lines: [`${file}: cannot be read; check its name and permissions`] };
  }
  const platform = Platform.platformPlugin as Plugin;
  const firstResult = Kernel.parseSettings(text, file, [platform]);
  const faults = firstResult.kind === 'faults' ? firstResult.faults : [];
  const unknownSections = faults.filter(
    ({ key, reason }) => key === '' && reason.startsWith('unknown section'),
  );
  const passThroughPlugins = unknownSections.map(({ section }) => createPassThroughPlugin(section));
  const result = Kernel.parseSettings(text, file, [platform, ...passThroughPlugins]);
  if (result.kind === 'faults') {
    return { kind: 'faults', lines: result.faults.map(Kernel.formatFault) };
  }
  const settings = result.settings.plugins.get('platform') as Platform.PlatformSettings;
  return { kind: 'settings', settings };
}

function parseOptions(options: ConnectionOptions): SettingsOutcome {
  const { platform, keyPrefix = DEFAULT_KEY_PREFIX, settings } = options;
  if (settings !== undefined) return loadFile(settings);
  if (platform === undefined) return { kind: 'faults', lines: [PLATFORM_HINT] };
  const parsed = Platform.platformSchema.safeParse({ endpoints: platform, keyPrefix });
  if (parsed.success) return { kind: 'settings', settings: parsed.data };
  const lines = parsed.error.issues.map(({ message }) => `--platform: ${message}`);
  return { kind: 'faults', lines };
}

export function openConnection(options: ConnectionOptions): Connection {
  const outcome = parseOptions(options);
  if (outcome.kind === 'faults') return outcome;
  const noopMetrics = { addCount: () => undefined, recordTiming: () => undefined };
  return { kind: 'open', ...Platform.openPlatform(outcome.settings, noopMetrics) };
}
