/**
 * Builds the configuration snapshot that requests use. Items are cached per section, so that a
 * change parses only the changed section, and unchanged organisations keep their object identity.
 */
import type {
  Configuration,
  KeyOwner,
  Model,
  Organisation,
  PlainService,
  Target,
  VmState,
} from '@sequoiarill/types';

import type { SectionContent } from './documentSchema';

/**
 * Limits of organisations that set none, too high to take effect. Admission control still shares a
 * saturated system by priority and weight.
 */
const UNLIMITED = { tokensPerSecond: 1e9, concurrentRequests: 1e9 };

/** Items that one section contributes to the snapshot. */
export interface SectionItems {
  readonly models: readonly Model[];
  readonly organisations: readonly Organisation[];
  readonly services: readonly PlainService[];
  readonly targets: readonly Target[];
  readonly keys: readonly KeyOwner[];
}

/** Items of a section before and after a change. */
export interface SectionChange {
  readonly before: SectionItems;
  readonly after: SectionItems;
}

export const EMPTY_ITEMS: SectionItems = {
  models: [],
  organisations: [],
  services: [],
  targets: [],
  keys: [],
};

function buildModels(content: SectionContent): readonly Model[] {
  return Object.entries(content.models).map(([name, model]) => ({ name, ...model }));
}

function buildOrganisations(content: SectionContent): readonly Organisation[] {
  return Object.entries(content.organisations).map(([name, organisation]) => ({
    name,
    ...organisation,
    limits: { ...UNLIMITED, ...organisation.limits },
  }));
}

function buildServices(content: SectionContent): readonly PlainService[] {
  return Object.entries(content.services).map(([name, service]) => ({ name, ...service }));
}

function buildTargets(content: SectionContent): readonly Target[] {
  return Object.entries(content.vms).flatMap(([vm, { zone, state, engines, services }]) => {
    const location = { vm, zone, vmState: state };
    return [
      ...Object.entries(engines).map(([name, engine]): Target => ({
        kind: 'engine',
        name,
        ...location,
        ...engine,
      })),
      ...Object.entries(services).map(([name, service]): Target => ({
        kind: 'service',
        name,
        ...location,
        ...service,
      })),
    ];
  });
}

function buildKeys(organisations: readonly Organisation[]): readonly KeyOwner[] {
  return organisations.flatMap((organisation) =>
    organisation.keys.map((key) => ({ organisation, key })),
  );
}

/** Returns the previous list if nothing changed, so that its map does not have to be rebuilt. */
function pickUnchanged<Item>(before: readonly Item[], after: readonly Item[]): readonly Item[] {
  const isSame = before.length === after.length && JSON.stringify(before) === JSON.stringify(after);
  return isSame ? before : after;
}

export function buildItems(
  content: SectionContent,
  before: SectionItems = EMPTY_ITEMS,
): SectionItems {
  const organisations = pickUnchanged(before.organisations, buildOrganisations(content));
  return {
    models: pickUnchanged(before.models, buildModels(content)),
    organisations,
    services: pickUnchanged(before.services, buildServices(content)),
    targets: pickUnchanged(before.targets, buildTargets(content)),
    keys: organisations === before.organisations ? before.keys : buildKeys(organisations),
  };
}

/** If two sections define a name, the first section by name wins, so that all routers agree. */
function addByName<Item extends { readonly name: string }>(
  map: Map<string, Item>,
  items: readonly Item[],
): void {
  items.forEach((item) => {
    if (!map.has(item.name)) map.set(item.name, item);
  });
}

function addKeys(map: Map<string, KeyOwner>, keys: readonly KeyOwner[]): void {
  keys.forEach((owner) => {
    if (!map.has(owner.key.id)) map.set(owner.key.id, owner);
  });
}

/**
 * A VM is leaving if either source says so, because the platform's list lags behind the document.
 */
function mergeVmState(target: Target, vmStates: ReadonlyMap<string, VmState>): Target {
  if (target.vmState === 'leaving' || vmStates.get(target.vm) !== 'leaving') return target;
  return { ...target, vmState: 'leaving' };
}

/** Merges the items of all sections, ordered by section name. */
export function buildConfiguration(
  revision: number,
  itemsBySection: ReadonlyMap<string, SectionItems>,
  vmStates: ReadonlyMap<string, VmState>,
): Configuration {
  const models = new Map<string, Model>();
  const organisations = new Map<string, Organisation>();
  const services = new Map<string, PlainService>();
  const targets = new Map<string, Target>();
  const keysById = new Map<string, KeyOwner>();
  for (const [, items] of [...itemsBySection].sort(([left], [right]) => (left < right ? -1 : 1))) {
    addByName(models, items.models);
    addByName(organisations, items.organisations);
    addByName(services, items.services);
    addByName(
      targets,
      items.targets.map((target) => mergeVmState(target, vmStates)),
    );
    addKeys(keysById, items.keys);
  }
  return { revision, models, organisations, keysById, services, targets };
}

/** Whether no name is defined by two sections, so that the items of one can be replaced alone. */
export function hasUniqueNames(
  configuration: Configuration,
  itemsBySection: ReadonlyMap<string, SectionItems>,
): boolean {
  const counts = { models: 0, organisations: 0, services: 0, targets: 0, keys: 0 };
  for (const items of itemsBySection.values()) {
    counts.models += items.models.length;
    counts.organisations += items.organisations.length;
    counts.services += items.services.length;
    counts.targets += items.targets.length;
    counts.keys += items.keys.length;
  }
  return (
    counts.models === configuration.models.size &&
    counts.organisations === configuration.organisations.size &&
    counts.services === configuration.services.size &&
    counts.targets === configuration.targets.size &&
    counts.keys === configuration.keysById.size
  );
}

interface ItemChange<Item> {
  readonly before: readonly Item[];
  readonly after: readonly Item[];
}

/**
 * Copies a map only if one of its items changed. Returns undefined if a new name already exists.
 */
function mergeItems<Item>(
  map: ReadonlyMap<string, Item>,
  changes: readonly ItemChange<Item>[],
  getName: (item: Item) => string,
): ReadonlyMap<string, Item> | undefined {
  const changed = changes.filter(({ before, after }) => before !== after);
  if (changed.length === 0) return map;
  const copy = new Map(map);
  changed.forEach(({ before }) => before.forEach((item) => copy.delete(getName(item))));
  for (const { after } of changed) {
    for (const item of after) {
      const name = getName(item);
      if (copy.has(name)) return undefined;
      copy.set(name, item);
    }
  }
  return copy;
}

function getItemName(item: { readonly name: string }): string {
  return item.name;
}

/**
 * Builds the snapshot after some sections changed from a previous one in which all names are
 * unique: copying a map costs a fraction of filling it again. Returns undefined if a name is now
 * defined twice, in which case the caller has to rebuild the full snapshot.
 */
export function updateConfiguration(
  previous: Configuration,
  revision: number,
  changes: readonly SectionChange[],
  vmStates: ReadonlyMap<string, VmState>,
): Configuration | undefined {
  function listChanges<Kind extends keyof SectionItems>(kind: Kind) {
    return changes.map(({ before, after }) => ({ before: before[kind], after: after[kind] }));
  }
  const targetChanges = listChanges('targets').map(({ before, after }) => ({
    before,
    after: before === after ? after : after.map((target) => mergeVmState(target, vmStates)),
  }));
  const models = mergeItems(previous.models, listChanges('models'), getItemName);
  const organisations = mergeItems(
    previous.organisations,
    listChanges('organisations'),
    getItemName,
  );
  const services = mergeItems(previous.services, listChanges('services'), getItemName);
  const targets = mergeItems(previous.targets, targetChanges, getItemName);
  const keysById = mergeItems(previous.keysById, listChanges('keys'), ({ key }) => key.id);
  if (!models || !organisations || !services || !targets || !keysById) return undefined;
  return { revision, models, organisations, keysById, services, targets };
}
