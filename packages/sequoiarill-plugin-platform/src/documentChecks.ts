/**
 * Checks one edited section against all others. Only checks that the edit can fail are run, and the
 * indexes of the other sections are cached: at tens of edits per second, an edit with a slow check
 * would always lose the compare-and-swap on the marker of the last edit.
 */
import type { SectionContent } from './documentSchema';
import * as SectionParser from './sectionParser';
import type { DocumentFault } from './sectionParser';

/** One parsed section of the document. */
export interface CheckedSection {
  readonly name: string;
  readonly file: string;
  readonly content: SectionContent;
}

/**
 * In-flight requests per engine slot: one running and three queued. A higher limit of an
 * organisation could not be met even with the queues of all engines full.
 */
const REQUESTS_PER_SLOT = 4;

/** A definition of a name that must be unique in the document. */
interface Claim {
  readonly kind: 'model' | 'service' | 'organisation' | 'key id' | 'VM' | 'target' | 'address';
  readonly name: string;
  readonly path: string;
}

/** Data of one section that checks of other sections need. Computed once per text. */
interface SectionIndex {
  /** Paths that define a name, by kind and name. */
  readonly pathsByClaim: ReadonlyMap<string, readonly string[]>;
  readonly slotsByModel: ReadonlyMap<string, number>;
}

const indexByContent = new WeakMap<SectionContent, SectionIndex>();

function createFault(section: CheckedSection, path: string, reason: string): DocumentFault {
  return { file: section.file, section: section.name, path, reason };
}

function* listVmClaims(content: SectionContent): Generator<Claim, void, void> {
  for (const [vmName, vm] of Object.entries(content.vms)) {
    const vmPath = `vms.${vmName}`;
    yield { kind: 'VM', name: vmName, path: vmPath };
    for (const targetKind of ['engines', 'services'] as const) {
      for (const [name, target] of Object.entries(vm[targetKind])) {
        const path = `${vmPath}.${targetKind}.${name}`;
        yield { kind: 'target', name, path };
        yield { kind: 'address', name: target.address, path: `${path}.address` };
      }
    }
  }
}

function* listClaims(content: SectionContent): Generator<Claim, void, void> {
  const { models, organisations, services } = content;
  for (const name of Object.keys(models)) yield { kind: 'model', name, path: `models.${name}` };
  for (const name of Object.keys(services)) {
    yield { kind: 'service', name, path: `services.${name}` };
  }
  for (const [name, organisation] of Object.entries(organisations)) {
    const path = `organisations.${name}`;
    yield { kind: 'organisation', name, path };
    for (const [index, key] of organisation.keys.entries()) {
      yield { kind: 'key id', name: key.id, path: `${path}.keys.${index}.id` };
    }
  }
  yield* listVmClaims(content);
}

function formatClaim(claim: Claim): string {
  return `${claim.kind} "${claim.name}"`;
}

function buildIndex(content: SectionContent): SectionIndex {
  const pathsByClaim = new Map<string, readonly string[]>();
  for (const claim of listClaims(content)) {
    const id = formatClaim(claim);
    pathsByClaim.set(id, [...(pathsByClaim.get(id) ?? []), claim.path]);
  }
  return { pathsByClaim, slotsByModel: computeSlotsByModel(content) };
}

function getIndex({ content }: CheckedSection): SectionIndex {
  const cached = indexByContent.get(content);
  if (cached !== undefined) return cached;
  const sectionIndex = buildIndex(content);
  indexByContent.set(content, sectionIndex);
  return sectionIndex;
}

/** Finds another definition of the same name, in this section or another one. */
function findOtherLocation(
  section: CheckedSection,
  claim: Claim,
  others: readonly CheckedSection[],
): string | undefined {
  const id = formatClaim(claim);
  const ownPaths = getIndex(section).pathsByClaim.get(id) ?? [];
  const ownPath = ownPaths.find((path) => path !== claim.path);
  if (ownPath !== undefined) return `[${section.name}] ${ownPath}`;
  for (const other of others) {
    const path = getIndex(other).pathsByClaim.get(id)?.[0];
    if (path !== undefined) return `[${other.name}] ${path}`;
  }
  return undefined;
}

function checkClaims(
  section: CheckedSection,
  others: readonly CheckedSection[],
): readonly DocumentFault[] {
  return [...listClaims(section.content)].flatMap((claim) => {
    const location = findOtherLocation(section, claim, others);
    if (location === undefined) return [];
    const reason = `${formatClaim(claim)} is also claimed by ${location}; rename or remove one`;
    return [createFault(section, claim.path, reason)];
  });
}

interface DefinedNames {
  readonly models: ReadonlySet<string>;
  readonly services: ReadonlySet<string>;
}

function checkReferencedNames(
  section: CheckedSection,
  path: string,
  kind: 'model' | 'service',
  names: readonly string[],
  definedNames: ReadonlySet<string>,
): readonly DocumentFault[] {
  return names
    .filter((name) => !definedNames.has(name))
    .map((name) => {
      const reason = `unknown ${kind} "${name}"; add it to a section first or mend the name`;
      return createFault(section, path, reason);
    });
}

function checkReferences(
  section: CheckedSection,
  definedNames: DefinedNames,
): readonly DocumentFault[] {
  const { organisations, vms } = section.content;
  const organisationFaults = Object.entries(organisations).flatMap(
    ([name, { models, services }]) => {
      const path = `organisations.${name}`;
      return [
        ...checkReferencedNames(section, `${path}.models`, 'model', models, definedNames.models),
        ...checkReferencedNames(
          section,
          `${path}.services`,
          'service',
          services,
          definedNames.services,
        ),
      ];
    },
  );
  const vmFaults = Object.entries(vms).flatMap(([vmName, vm]) => [
    ...Object.entries(vm.engines).flatMap(([name, { models }]) => {
      const path = `vms.${vmName}.engines.${name}.models`;
      return checkReferencedNames(section, path, 'model', models, definedNames.models);
    }),
    ...Object.entries(vm.services).flatMap(([name, { service }]) => {
      const path = `vms.${vmName}.services.${name}.service`;
      return checkReferencedNames(section, path, 'service', [service], definedNames.services);
    }),
  ]);
  return [...organisationFaults, ...vmFaults];
}

function checkModels(section: CheckedSection): readonly DocumentFault[] {
  return Object.entries(section.content.models)
    .filter(([, model]) => model.maxOutputTokens > model.contextTokens)
    .map(([name, { maxOutputTokens, contextTokens }]) => {
      const reason = `${maxOutputTokens} is above contextTokens (${contextTokens}); lower it`;
      return createFault(section, `models.${name}.maxOutputTokens`, reason);
    });
}

function listDefinedNames(sections: readonly CheckedSection[]): DefinedNames {
  return {
    models: new Set(sections.flatMap(({ content }) => Object.keys(content.models))),
    services: new Set(sections.flatMap(({ content }) => Object.keys(content.services))),
  };
}

/** Finds faults of the edited section: duplicate names, unknown names, invalid model limits. */
export function checkEdited(
  edited: CheckedSection,
  others: readonly CheckedSection[],
): readonly DocumentFault[] {
  return [
    ...checkClaims(edited, others),
    ...checkReferences(edited, listDefinedNames([edited, ...others])),
    ...checkModels(edited),
  ];
}

/** Finds faults that an edit causes in other sections by removing names that they reference. */
export function checkOthers(
  edited: CheckedSection,
  stored: CheckedSection | undefined,
  others: readonly CheckedSection[],
): readonly DocumentFault[] {
  if (stored === undefined) return [];
  const after = listDefinedNames([edited, ...others]);
  const before = listDefinedNames([stored]);
  const isNameRemoved =
    [...before.models].some((name) => !after.models.has(name)) ||
    [...before.services].some((name) => !after.services.has(name));
  if (!isNameRemoved) return [];
  const definedNames = listDefinedNames([stored, ...others]);
  const existingFaults = new Set(
    others
      .flatMap((section) => checkReferences(section, definedNames))
      .map(SectionParser.formatFault),
  );
  return others
    .flatMap((section) => checkReferences(section, after))
    .filter((fault) => !existingFaults.has(SectionParser.formatFault(fault)));
}

function computeSlotsByModel(content: SectionContent): ReadonlyMap<string, number> {
  const slotsByModel = new Map<string, number>();
  for (const vm of Object.values(content.vms)) {
    for (const { models, slots } of Object.values(vm.engines)) {
      models.forEach((model) => slotsByModel.set(model, (slotsByModel.get(model) ?? 0) + slots));
    }
  }
  return slotsByModel;
}

function computeModelSlots(sections: readonly CheckedSection[], model: string): number {
  return sections.reduce(
    (sum, section) => sum + (getIndex(section).slotsByModel.get(model) ?? 0),
    0,
  );
}

/**
 * Finds limits in a section that exceed the capacity of all engines together. This is reported to
 * the team that sets the limit, never to the team that removes engines, because operators must be
 * able to remove a VM.
 */
export function checkCapacity(
  section: CheckedSection,
  sections: readonly CheckedSection[],
): readonly DocumentFault[] {
  return Object.entries(section.content.organisations).flatMap(([name, { models, limits }]) => {
    const limit = limits.concurrentRequests;
    if (limit === undefined) return [];
    const slots = models.reduce((sum, model) => sum + computeModelSlots(sections, model), 0);
    const capacity = slots * REQUESTS_PER_SLOT;
    if (limit <= capacity) return [];
    const path = `organisations.${name}.limits.concurrentRequests`;
    const reason = `${limit} is above ${capacity}, which the ${slots} slots of its models can hold; lower it or add engines first`;
    return [createFault(section, path, reason)];
  });
}

/** Finds faults that do not depend on other sections: duplicate names, invalid model limits. */
export function checkStandaloneSection(section: CheckedSection): readonly DocumentFault[] {
  return [...checkClaims(section, []), ...checkModels(section)];
}
