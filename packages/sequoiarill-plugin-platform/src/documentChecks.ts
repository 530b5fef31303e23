/** Checks over all sections of the document: what one section alone cannot know. */
import type { SectionContent } from './documentSchema';
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
  readonly section: CheckedSection;
  readonly kind: string;
  readonly name: string;
  readonly path: string;
}

function createFault(section: CheckedSection, path: string, reason: string): DocumentFault {
  return { file: section.file, section: section.name, path, reason };
}

function* listVmClaims(section: CheckedSection): Generator<Claim, void, void> {
  for (const [vmName, vm] of Object.entries(section.content.vms)) {
    const vmPath = `vms.${vmName}`;
    yield { section, kind: 'VM', name: vmName, path: vmPath };
    for (const place of ['engines', 'services'] as const) {
      for (const [name, target] of Object.entries(vm[place])) {
        const path = `${vmPath}.${place}.${name}`;
        yield { section, kind: 'target', name, path };
        yield { section, kind: 'address', name: target.address, path: `${path}.address` };
      }
    }
  }
}

function* listClaims(section: CheckedSection): Generator<Claim, void, void> {
  const { models, organisations, services } = section.content;
  for (const name of Object.keys(models)) {
    yield { section, kind: 'model', name, path: `models.${name}` };
  }
  for (const name of Object.keys(services)) {
    yield { section, kind: 'service', name, path: `services.${name}` };
  }
  for (const [name, organisation] of Object.entries(organisations)) {
    const path = `organisations.${name}`;
    yield { section, kind: 'organisation', name, path };
    for (const [index, key] of organisation.keys.entries()) {
      yield { section, kind: 'key id', name: key.id, path: `${path}.keys.${index}.id` };
    }
  }
  yield* listVmClaims(section);
}

function checkClaims(sections: readonly CheckedSection[]): readonly DocumentFault[] {
  const claimsByName = new Map<string, Claim[]>();
  for (const section of sections) {
    for (const claim of listClaims(section)) {
      const id = `${claim.kind} ${claim.name}`;
      const claims = claimsByName.get(id);
      if (claims === undefined) claimsByName.set(id, [claim]);
      else claims.push(claim);
    }
  }
  return [...claimsByName.values()]
    .filter((claims) => claims.length > 1)
    .flatMap((claims) => claims.map((claim) => createClaimFault(claim, claims)));
}

function createClaimFault(claim: Claim, claims: readonly Claim[]): DocumentFault {
  const other = claims.find((candidate) => candidate !== claim);
  const place = `[${other?.section.name}] ${other?.path}`;
  const reason = `${claim.kind} "${claim.name}" is also claimed by ${place}; rename or remove one`;
  return createFault(claim.section, claim.path, reason);
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

/** Faults that make the document wrong for everybody: names claimed twice, names unknown. */
export function checkDocument(sections: readonly CheckedSection[]): readonly DocumentFault[] {
  const known: KnownNames = {
    models: new Set(sections.flatMap(({ content }) => Object.keys(content.models))),
    services: new Set(sections.flatMap(({ content }) => Object.keys(content.services))),
  };
  return [
    ...checkClaims(sections),
    ...sections.flatMap((section) => checkReferences(section, known)),
    ...sections.flatMap(checkModels),
  ];
}

/** Slots of all engines by model. */
function computeSlots(sections: readonly CheckedSection[]): ReadonlyMap<string, number> {
  const slotsByModel = new Map<string, number>();
  for (const { content } of sections) {
    for (const vm of Object.values(content.vms)) {
      for (const { models, slots } of Object.values(vm.engines)) {
        models.forEach((model) => slotsByModel.set(model, (slotsByModel.get(model) ?? 0) + slots));
      }
    }
  }
  return slotsByModel;
}

/**
 * Limits of one section that are above what all engines together can hold. Told to the team that sets
 * the limit, never to the team that takes engines away: an operator must be able to remove a VM.
 */
export function checkCapacity(
  section: CheckedSection,
  sections: readonly CheckedSection[],
): readonly DocumentFault[] {
  const slotsByModel = computeSlots(sections);
  return Object.entries(section.content.organisations).flatMap(([name, { models, limits }]) => {
    const slots = models.reduce((sum, model) => sum + (slotsByModel.get(model) ?? 0), 0);
    const most = slots * REQUESTS_PER_SLOT;
    const wanted = limits.concurrentRequests;
    if (wanted === undefined || wanted <= most) return [];
    const path = `organisations.${name}.limits.concurrentRequests`;
    const reason = `${wanted} is above ${most}, which the ${slots} slots of its models can hold; lower it or add engines first`;
    return [createFault(section, path, reason)];
  });
}

/** What can be told of a section without the others: names it claims twice, models over themselves. */
export function checkAloneSection(section: CheckedSection): readonly DocumentFault[] {
  return [...checkClaims([section]), ...checkModels(section)];
}
