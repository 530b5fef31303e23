/** Where plug-in packages put themselves when they are imported. */
import type { Plugin } from '@sequoiarill/types';

const pluginsByName = new Map<string, Plugin>();

/**
 * Adds a plug-in for every kernel of this process. A second plug-in of the same name would make
 * the settings section ambiguous, so it stops the process.
 */
export function registerPlugin<Settings>(plugin: Plugin<Settings>): void {
  const known = pluginsByName.get(plugin.name);
  if (known !== undefined && known !== plugin) {
    throw new Error(`two plug-ins are named "${plugin.name}"; rename one of them`);
  }
  pluginsByName.set(plugin.name, plugin as Plugin);
}

export function listPlugins(): readonly Plugin[] {
  return [...pluginsByName.values()];
}

/**
 * Orders plug-ins so that each comes after the providers of what it needs. A cycle or a need that
 * nobody meets is an error of the program, not of its settings.
 */
export function sortPlugins(plugins: readonly Plugin[]): readonly Plugin[] {
  const sorted: Plugin[] = [];
  const provided = new Set<string>();
  let waiting = [...plugins];
  while (waiting.length > 0) {
    const ready = waiting.filter((plugin) => plugin.needs.every((need) => provided.has(need)));
    if (ready.length === 0) {
      const names = waiting.map((plugin) => `${plugin.name} (needs ${plugin.needs.join(', ')})`);
      throw new Error(`capabilities missing or circular: ${names.join('; ')}`);
    }
    ready.forEach((plugin) => plugin.provides.forEach((name) => provided.add(name)));
    sorted.push(...ready);
    waiting = waiting.filter((plugin) => !ready.includes(plugin));
  }
  return sorted;
}
