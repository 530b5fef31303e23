/**
 * Builds the snapshot that requests are served by. Parts are kept for each section, so that a change
 * of one section parses that one only, and unchanged organisations keep their identity.
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
 * For organisations without limits: none that would be felt. Admission still shares a saturated
 * system by priority and weight.
 */
const UNLIMITED = { tokensPerSecond: 1e9, concurrentRequests: 1e9 };

/** What one section adds to the snapshot. */
export interface SectionParts {
  readonly models: readonly Model[];
  readonly organisations: readonly Organisation[];
  readonly services: readonly PlainService[];
  readonly targets: readonly Target[];
  readonly keys: readonly KeyOwner[];
}

/** A section's parts before and after a change of it. */
export interface PartsChange {
  readonly before: SectionParts;
  readonly after: SectionParts;
}

export const EMPTY_PARTS: SectionParts = {
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
    const place = { vm, zone, vmState: state };
    return [
      ...Object.entries(engines).map(([name, engine]): Target => ({
        kind: 'engine',
        name,
        ...place,
        ...engine,
      })),
      ...Object.entries(services).map(([name, service]): Target => ({
        kind: 'service',
        name,
        ...place,
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

/** Keeps the earlier list when nothing in it changed, so that its map need not be built anew. */
function pickUnchanged<Item>(before: readonly Item[], after: readonly Item[]): readonly Item[] {
  const isSame = before.length === after.length && JSON.stringify(before) === JSON.stringify(after);
  return isSame ? before : after;
}

export function buildParts(
  content: SectionContent,
  before: SectionParts = EMPTY_PARTS,
): SectionParts {
  const organisations = pickUnchanged(before.organisations, buildOrganisations(content));
  return {
    models: pickUnchanged(before.models, buildModels(content)),
    organisations,
    services: pickUnchanged(before.services, buildServices(content)),
    targets: pickUnchanged(before.targets, buildTargets(content)),
    keys: organisations === before.organisations ? before.keys : buildKeys(organisations),
  };
}

/** The first section by name keeps a name that two claim, so that every router decides alike. */
function addNamed<Item extends { readonly name: string }>(
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

/** Either source saying so makes a VM leaving: the platform's list lags behind the document. */
function mergeVmState(target: Target, vmStates: ReadonlyMap<string, VmState>): Target {
  if (target.vmState === 'leaving' || vmStates.get(target.vm) !== 'leaving') return target;
  return { ...target, vmState: 'leaving' };
}

/** Merges the parts of all sections, in the order of their names. */
export function buildConfiguration(
  revision: number,
  partsBySection: ReadonlyMap<string, SectionParts>,
  vmStates: ReadonlyMap<string, VmState>,
): Configuration {
  const models = new Map<string, Model>();
  const organisations = new Map<string, Organisation>();
  const services = new Map<string, PlainService>();
  const targets = new Map<string, Target>();
  const keysById = new Map<string, KeyOwner>();
  for (const [, parts] of [...partsBySection].sort(([left], [right]) => (left < right ? -1 : 1))) {
    addNamed(models, parts.models);
    addNamed(organisations, parts.organisations);
    addNamed(services, parts.services);
    addNamed(
      targets,
      parts.targets.map((target) => mergeVmState(target, vmStates)),
    );
    addKeys(keysById, parts.keys);
  }
  return { revision, models, organisations, keysById, services, targets };
}

/** Whether no two sections claim a name; then each section's items can be replaced by themselves. */
export function isUnambiguous(
  configuration: Configuration,
  partsBySection: ReadonlyMap<string, SectionParts>,
): boolean {
  const counts = { models: 0, organisations: 0, services: 0, targets: 0, keys: 0 };
  for (const parts of partsBySection.values()) {
    counts.models += parts.models.length;
    counts.organisations += parts.organisations.length;
    counts.services += parts.services.length;
    counts.targets += parts.targets.length;
    counts.keys += parts.keys.length;
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

/** Copies a map only if something in it changed; undefined when a new name is already taken. */
function mergeItems<Item>(
  map: ReadonlyMap<string, Item>,
  changes: readonly ItemChange<Item>[],
  getName: (item: Item) => string,
): ReadonlyMap<string, Item> | undefined {
  const touched = changes.filter(({ before, after }) => before !== after);
  if (touched.length === 0) return map;
  const copy = new Map(map);
  touched.forEach(({ before }) => before.forEach((item) => copy.delete(getName(item))));
  for (const { after } of touched) {
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
 * The snapshot after some sections changed, built from an unambiguous one: copying a map costs a
 * fraction of filling it again. Undefined when a name is claimed twice now; then all is built anew.
 */
export function updateConfiguration(
  previous: Configuration,
  revision: number,
  changes: readonly PartsChange[],
  vmStates: ReadonlyMap<string, VmState>,
): Configuration | undefined {
  function listChanges<Kind extends keyof SectionParts>(kind: Kind) {
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
