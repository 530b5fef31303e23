/** One section of the configuration document for a small fleet of stand-ins. */
import type { OrganisationKey, ResumePreference } from '@sequoiarill/types';

export interface FleetMember {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
}

export interface DocumentParts {
  readonly engines: readonly FleetMember[];
  readonly services: readonly FleetMember[];
  readonly keys: readonly OrganisationKey[];
  readonly slots?: number;
  readonly checksFencing?: boolean;
  readonly checksIdempotencyKey?: boolean;
  readonly preference?: ResumePreference;
}

export const MODEL = 'fit-advisor';
export const SERVICE = 'bookings';
export const ORGANISATION = 'corner-shop';
const DEFAULT_SLOTS = 256;

/** The section's text, as an operator would write it. */
export function buildDocument(parts: DocumentParts): string {
  const vms = [
    ...parts.engines.map((engine) => [`vm-${engine.name}`, buildEngineVm(engine, parts)]),
    ...parts.services.map((service) => [`vm-${service.name}`, buildServiceVm(service)]),
  ];
  const section = {
    models: { [MODEL]: { version: '1', contextTokens: 131_072, maxOutputTokens: 512 } },
    organisations: {
      [ORGANISATION]: {
        models: [MODEL],
        services: [SERVICE],
        keys: parts.keys,
        priority: 3,
        weight: 1,
        preference: parts.preference ?? 'resumeLatency',
      },
    },
    services: { [SERVICE]: { checksIdempotencyKey: parts.checksIdempotencyKey ?? false } },
    vms: Object.fromEntries(vms) as unknown,
  };
  return JSON.stringify(section, undefined, 2);
}

function buildEngineVm(engine: FleetMember, parts: DocumentParts): unknown {
  const target = {
    address: engine.address,
    models: [MODEL],
    slots: parts.slots ?? DEFAULT_SLOTS,
    checksFencing: parts.checksFencing ?? true,
  };
  return { zone: engine.zone, engines: { [engine.name]: target } };
}

function buildServiceVm(service: FleetMember): unknown {
  const target = { address: service.address, service: SERVICE };
  return { zone: service.zone, services: { [service.name]: target } };
}
