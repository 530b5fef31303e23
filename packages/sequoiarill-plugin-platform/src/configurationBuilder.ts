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
}

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

export function buildParts(content: SectionContent): SectionParts {
  return {
    models: buildModels(content),
    organisations: buildOrganisations(content),
    services: buildServices(content),
    targets: buildTargets(content),
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

function addKeys(
  keys: Map<string, KeyOwner>,
  organisations: ReadonlyMap<string, Organisation>,
): void {
  for (const organisation of organisations.values()) {
    for (const key of organisation.keys) {
      if (!keys.has(key.id)) keys.set(key.id, { organisation, key });
    }
  }
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
  }
  addKeys(keysById, organisations);
  return { revision, models, organisations, keysById, services, targets };
}
