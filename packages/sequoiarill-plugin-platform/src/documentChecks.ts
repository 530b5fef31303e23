/**
 * Checks of one edited section against all others. Only what the edit can break is looked at, and
 * facts of the others are kept, because an edit that is checked for long loses its race for the marker
 * of the last edit at tens of edits a second.
 */
import type { SectionContent } from './documentSchema';
import * as SectionParser from './sectionParser';
import type { DocumentFault } from './sectionParser';

/** One section of the document under check. */
export interface CheckedSection {
  readonly name: string;
  readonly file: string;
  readonly content: SectionContent;
}

/**
 * Requests in progress for each slot of an engine: one that runs and three that wait. A limit beyond
 * it promises what even a full queue of all engines could not hold.
 */
const REQUESTS_PER_SLOT = 4;

/** A name that only one place of the document may claim. */
interface Claim {
  readonly kind: 'model' | 'service' | 'organisation' | 'key id' | 'VM' | 'target' | 'address';
  readonly name: string;
  readonly path: string;
}

/** What other sections need to know of one; worked out once for each text. */
interface SectionFacts {
  /** Paths that claim a name, by kind and name. */
  readonly pathsByClaim: ReadonlyMap<string, readonly string[]>;
  readonly slotsByModel: ReadonlyMap<string, number>;
}

const factsByContent = new WeakMap<SectionContent, SectionFacts>();

function createFault(section: CheckedSection, path: string, reason: string): DocumentFault {
  return { file: section.file, section: section.name, path, reason };
}

function* listVmClaims(content: SectionContent): Generator<Claim, void, void> {
  for (const [vmName, vm] of Object.entries(content.vms)) {
    const vmPath = `vms.${vmName}`;
    yield { kind: 'VM', name: vmName, path: vmPath };
    for (const place of ['engines', 'services'] as const) {
      for (const [name, target] of Object.entries(vm[place])) {
        const path = `${vmPath}.${place}.${name}`;
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

function buildFacts(content: SectionContent): SectionFacts {
  const pathsByClaim = new Map<string, readonly string[]>();
  for (const claim of listClaims(content)) {
    const id = formatClaim(claim);
    pathsByClaim.set(id, [...(pathsByClaim.get(id) ?? []), claim.path]);
  }
  return { pathsByClaim, slotsByModel: computeSlots(content) };
}

function getFacts({ content }: CheckedSection): SectionFacts {
  const known = factsByContent.get(content);
  if (known !== undefined) return known;
  const facts = buildFacts(content);
  factsByContent.set(content, facts);
  return facts;
}

/** Another place that claims the same, in this section or in another one. */
function findOtherPlace(
  section: CheckedSection,
  claim: Claim,
  others: readonly CheckedSection[],
): string | undefined {
  const id = formatClaim(claim);
  const ownPaths = getFacts(section).pathsByClaim.get(id) ?? [];
  const ownPath = ownPaths.find((path) => path !== claim.path);
  if (ownPath !== undefined) return `[${section.name}] ${ownPath}`;
  for (const other of others) {
    const path = getFacts(other).pathsByClaim.get(id)?.[0];
    if (path !== undefined) return `[${other.name}] ${path}`;
  }
  return undefined;
}

function checkClaims(
  section: CheckedSection,
  others: readonly CheckedSection[],
): readonly DocumentFault[] {
  return [...listClaims(section.content)].flatMap((claim) => {
    const place = findOtherPlace(section, claim, others);
    if (place === undefined) return [];
    const reason = `${formatClaim(claim)} is also claimed by ${place}; rename or remove one`;
    return [createFault(section, claim.path, reason)];
  });
}

interface KnownNames {
  readonly models: ReadonlySet<string>;
  readonly services: ReadonlySet<string>;
}

function checkNames(
  section: CheckedSection,
  path: string,
  kind: 'model' | 'service',
  names: readonly string[],
  known: ReadonlySet<string>,
): readonly DocumentFault[] {
  return names
    .filter((name) => !known.has(name))
    .map((name) => {
      const reason = `unknown ${kind} "${name}"; add it to a section first or mend the name`;
      return createFault(section, path, reason);
    });
}

function checkReferences(section: CheckedSection, known: KnownNames): readonly DocumentFault[] {
  const { organisations, vms } = section.content;
  const ofOrganisations = Object.entries(organisations).flatMap(([name, { models, services }]) => {
    const path = `organisations.${name}`;
    return [
      ...checkNames(section, `${path}.models`, 'model', models, known.models),
      ...checkNames(section, `${path}.services`, 'service', services, known.services),
    ];
  });
  const ofVms = Object.entries(vms).flatMap(([vmName, vm]) => [
    ...Object.entries(vm.engines).flatMap(([name, { models }]) => {
      const path = `vms.${vmName}.engines.${name}.models`;
      return checkNames(section, path, 'model', models, known.models);
    }),
    ...Object.entries(vm.services).flatMap(([name, { service }]) => {
      const path = `vms.${vmName}.services.${name}.service`;
      return checkNames(section, path, 'service', [service], known.services);
    }),
  ]);
  return [...ofOrganisations, ...ofVms];
}

function checkModels(section: CheckedSection): readonly DocumentFault[] {
  return Object.entries(section.content.models)
    .filter(([, model]) => model.maxOutputTokens > model.contextTokens)
    .map(([name, { maxOutputTokens, contextTokens }]) => {
      const reason = `${maxOutputTokens} is above contextTokens (${contextTokens}); lower it`;
      return createFault(section, `models.${name}.maxOutputTokens`, reason);
    });
}

function listKnownNames(sections: readonly CheckedSection[]): KnownNames {
  return {
    models: new Set(sections.flatMap(({ content }) => Object.keys(content.models))),
    services: new Set(sections.flatMap(({ content }) => Object.keys(content.services))),
  };
}

/** Faults of the edited section: names claimed twice, names unknown, models over themselves. */
export function checkEdited(
  edited: CheckedSection,
  others: readonly CheckedSection[],
): readonly DocumentFault[] {
  return [
    ...checkClaims(edited, others),
    ...checkReferences(edited, listKnownNames([edited, ...others])),
    ...checkModels(edited),
  ];
}

/** Faults that an edit brings upon other sections: it takes away what they use. */
export function checkOthers(
  edited: CheckedSection,
  stored: CheckedSection | undefined,
  others: readonly CheckedSection[],
): readonly DocumentFault[] {
  if (stored === undefined) return [];
  const after = listKnownNames([edited, ...others]);
  const before = listKnownNames([stored]);
  const isTakenAway =
    [...before.models].some((name) => !after.models.has(name)) ||
    [...before.services].some((name) => !after.services.has(name));
  if (!isTakenAway) return [];
  const known = listKnownNames([stored, ...others]);
  const isOld = new Set(
    others.flatMap((section) => checkReferences(section, known)).map(SectionParser.formatFault),
  );
  return others
    .flatMap((section) => checkReferences(section, after))
    .filter((fault) => !isOld.has(SectionParser.formatFault(fault)));
}

function computeSlots(content: SectionContent): ReadonlyMap<string, number> {
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
    (sum, section) => sum + (getFacts(section).slotsByModel.get(model) ?? 0),
    0,
  );
}

/**
 * Limits of one section that are above what all engines together can hold. Told to the team that sets
 * the limit, never to the team that takes engines away: an operator must be able to remove a VM.
 */
export function checkCapacity(
  section: CheckedSection,
  sections: readonly CheckedSection[],
): readonly DocumentFault[] {
  return Object.entries(section.content.organisations).flatMap(([name, { models, limits }]) => {
    const wanted = limits.concurrentRequests;
    if (wanted === undefined) return [];
    const slots = models.reduce((sum, model) => sum + computeModelSlots(sections, model), 0);
    const most = slots * REQUESTS_PER_SLOT;
    if (wanted <= most) return [];
    const path = `organisations.${name}.limits.concurrentRequests`;
    const reason = `${wanted} is above ${most}, which the ${slots} slots of its models can hold; lower it or add engines first`;
    return [createFault(section, path, reason)];
  });
}

/** What can be told of a section without the others: names it claims twice, models over themselves. */
export function checkAloneSection(section: CheckedSection): readonly DocumentFault[] {
  return [...checkClaims(section, []), ...checkModels(section)];
}
