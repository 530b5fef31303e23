/** The plug-in registry; plug-in packages register themselves when they are imported. */
import type { Plugin } from '@sequoiarill/types';

const pluginsByName = new Map<string, Plugin>();

/**
 * Registers a plug-in for all kernels of this process. Throws if another plug-in has the same name,
 * since the name identifies its settings section.
 */
export function registerPlugin<Settings>(plugin: Plugin<Settings>): void {
  const existing = pluginsByName.get(plugin.name);
  if (existing !== undefined && existing !== plugin) {
    throw new Error(`plug-in name "${plugin.name}" is used twice; rename one of the plug-ins`);
  }
  pluginsByName.set(plugin.name, plugin as Plugin);
}

export function listPlugins(): readonly Plugin[] {
  return [...pluginsByName.values()];
}

/**
 * Sorts plug-ins topologically, so that each follows the providers of the capabilities it needs.
 * Throws on a circular or missing capability, which is a programming error and cannot be caused by
 * the settings.
 */
export function sortPlugins(plugins: readonly Plugin[]): readonly Plugin[] {
  const sorted: Plugin[] = [];
  const provided = new Set<string>();
  let unsorted = [...plugins];
  while (unsorted.length > 0) {
    const startable = unsorted.filter((plugin) => plugin.needs.every((need) => provided.has(need)));
    if (startable.length === 0) {
      const names = unsorted.map((plugin) => `${plugin.name} (needs ${plugin.needs.join(', ')})`);
      throw new Error(`missing or circular plug-in capabilities: ${names.join('; ')}`);
    }
    startable.forEach((plugin) => plugin.provides.forEach((name) => provided.add(name)));
    sorted.push(...startable);
    unsorted = unsorted.filter((plugin) => !startable.includes(plugin));
  }
  return sorted;
}
