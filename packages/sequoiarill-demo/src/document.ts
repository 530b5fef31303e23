/** Builds one section of the configuration document, for a small fleet of stand-ins. */
import type { OrganisationKey, ResumePreference } from '@sequoiarill/types';

export interface FleetMember {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
}

export interface DocumentOptions {
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

/** Returns the section as JSON text, as an operator would write it. */
export function buildDocument(options: DocumentOptions): string {
  const vms = [
    ...options.engines.map((engine) => [`vm-${engine.name}`, buildEngineVm(engine, options)]),
    ...options.services.map((service) => [`vm-${service.name}`, buildServiceVm(service)]),
  ];
  const section = {
    models: { [MODEL]: { version: '1', contextTokens: 131_072, maxOutputTokens: 512 } },
    organisations: {
      [ORGANISATION]: {
        models: [MODEL],
        services: [SERVICE],
        keys: options.keys,
        priority: 3,
        weight: 1,
        preference: options.preference ?? 'resumeLatency',
      },
    },
    services: { [SERVICE]: { checksIdempotencyKey: options.checksIdempotencyKey ?? false } },
    vms: Object.fromEntries(vms) as unknown,
  };
  return JSON.stringify(section, undefined, 2);
}

function buildEngineVm(engine: FleetMember, options: DocumentOptions): unknown {
  const target = {
    address: engine.address,
    models: [MODEL],
    slots: options.slots ?? DEFAULT_SLOTS,
    checksFencing: options.checksFencing ?? true,
  };
  return { zone: engine.zone, engines: { [engine.name]: target } };
}

function buildServiceVm(service: FleetMember): unknown {
  const target = { address: service.address, service: SERVICE };
  return { zone: service.zone, services: { [service.name]: target } };
}
