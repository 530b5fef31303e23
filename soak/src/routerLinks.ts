/** Links of one router of its own to all targets, so that it can be cut off from them alone. */
import * as Standins from '@sequoiarill/standins';
import type { LinkStandin, StoreStandin } from '@sequoiarill/standins';

export interface RouterLinks {
  /** `IP:port` of the store as this router sees it: targets have the addresses of its links. */
  readonly storeAddress: string;
  readonly links: readonly LinkStandin[];
  /** Of the links, `IP:port`. Routers that learn a target from this one use them as well. */
  readonly addresses: readonly string[];
  readonly stop: () => Promise<void>;
}

export async function startRouterLinks(
  store: StoreStandin,
  targetAddresses: readonly string[],
): Promise<RouterLinks> {
  const links = targetAddresses.map((target) => Standins.createLinkStandin({ target }));
  const started = await Promise.all(links.map((link) => link.start()));
  const linkAddresses = new Map(
    targetAddresses.map((target, index) => [target, started[index]?.address ?? target]),
  );
  const storeAddress = await store.startView((_key, value) =>
    [...linkAddresses].reduce(
      (changed, [target, link]) => changed.replaceAll(`"${target}"`, `"${link}"`),
      value,
    ),
  );
  return {
    storeAddress,
    links,
    addresses: [...linkAddresses.values()],
    stop: async () => {
      await Promise.all(links.map((link) => link.stop()));
    },
  };
}
