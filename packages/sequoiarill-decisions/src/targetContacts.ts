/** Tracks what this router heard of the targets of each service, and which of them it has lost since. */
import type { TargetLocation } from './suspectTracker';

/** What this router knows of its contact with the targets of one service. */
export interface ContactSummary {
  /** Time since a target of the service answered, milliseconds; undefined if none ever has. */
  readonly heardAgeMs: number | undefined;
  /** Targets lost since then, and the zones that they are in. */
  readonly lostTargets: number;
  readonly lostZones: number;
}

export interface TargetContacts {
  readonly recordHeard: (service: string, nowMs: number) => void;
  readonly recordLoss: (target: TargetLocation) => void;
  /** Whether a target of the service has answered since then, monotonic milliseconds. */
  readonly hasHeardSince: (service: string, sinceMs: number) => boolean;
  /** Whether the target was lost since a target of its service last answered. */
  readonly isLost: (target: TargetLocation) => boolean;
  readonly getSummary: (service: string, nowMs: number) => ContactSummary;
}

interface ServiceContacts {
  heardAtMs: number | undefined;
  /** Zones of the targets lost since, by target id. */
  readonly lost: Map<string, string>;
}

export function createTargetContacts(): TargetContacts {
  const contactsByService = new Map<string, ServiceContacts>();

  function getContacts(service: string): ServiceContacts {
    const existing = contactsByService.get(service);
    if (existing !== undefined) return existing;
    const contacts: ServiceContacts = { heardAtMs: undefined, lost: new Map() };
    contactsByService.set(service, contacts);
    return contacts;
  }

  return {
    recordHeard(service, nowMs) {
      const contacts = getContacts(service);
      contacts.heardAtMs = nowMs;
      contacts.lost.clear();
    },
    recordLoss({ id, zone, service }) {
      getContacts(service).lost.set(id, zone);
    },
    hasHeardSince: (service, sinceMs) => (getContacts(service).heardAtMs ?? -1) >= sinceMs,
    isLost: ({ id, service }) => getContacts(service).lost.has(id),
    getSummary(service, nowMs) {
      const { heardAtMs, lost } = getContacts(service);
      return {
        heardAgeMs: heardAtMs === undefined ? undefined : Math.round(nowMs - heardAtMs),
        lostTargets: lost.size,
        lostZones: new Set(lost.values()).size,
      };
    },
  };
}
