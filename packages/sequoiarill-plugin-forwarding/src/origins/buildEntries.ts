/** Stores which builds of a service may have begun streams, for routers that start later. */
import type { Directory, ForwardingWire, KeyValueStore, TargetBuild } from '@sequoiarill/types';
import * as Zod from 'zod';

export interface BuildEntries {
  /** Empty where no router has written any. */
  readonly list: (service: string) => readonly TargetBuild[];
  /** Replaces those of the service, unless another router has written them since they were listed here. */
  readonly write: (service: string, builds: readonly TargetBuild[]) => Promise<void>;
}

export interface BuildEntriesOptions {
  readonly wire: Pick<ForwardingWire, 'ownPrefix'>;
  readonly directory: Pick<Directory, 'listEntries' | 'recordEntry'>;
  readonly store: Pick<KeyValueStore, 'writeTransaction'>;
}

const valueSchema = Zod.object({
  builds: Zod.array(Zod.object({ version: Zod.string(), models: Zod.string() })),
});

/** Empty for a value that no router wrote. */
function decodeBuilds(value: string): readonly TargetBuild[] {
  try {
    const parsed = valueSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data.builds : [];
  } catch {
    return [];
  }
}

export function createBuildEntries({ wire, directory, store }: BuildEntriesOptions): BuildEntries {
  const formatKey = (service: string): string => `${wire.ownPrefix}builds/${service}`;

  function findEntry(service: string) {
    const key = formatKey(service);
    return directory.listEntries(key).find((entry) => entry.key === key);
  }

  return {
    list: (service) => decodeBuilds(findEntry(service)?.value ?? ''),
    async write(service, builds) {
      const key = formatKey(service);
      const value = JSON.stringify({ builds });
      const written = await store.writeTransaction({
        comparisons: [{ key, revision: findEntry(service)?.revision ?? 0 }],
        writes: [{ key, value }],
      });
      if (written.kind === 'written') {
        directory.recordEntry({ key, revision: written.revision, value });
      }
    },
  };
}
