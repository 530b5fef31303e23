/** Works out for a configuration which services decide who gets room, and the urgency of their streams. */
import * as Decisions from '@sequoiarill/decisions';
import type {
  ForwardingConfiguration,
  ForwardingOrganisation,
  ForwardingRoute,
} from '@sequoiarill/types';

import type { RoomSettings } from './settings';

export interface ServiceUrgency {
  readonly getLevel: (route: ForwardingRoute, organisation: string | undefined) => number;
  readonly countLevels: () => number;
}

export interface MalformedPriority {
  readonly kind: 'route' | 'organisation';
  readonly owner: string;
  /** Text, since JSON has no form for all numbers. */
  readonly priority: string;
}

export interface Activation {
  /** Active services only. */
  readonly services: ReadonlyMap<string, ServiceUrgency>;
  readonly malformed: readonly MalformedPriority[];
}

export interface ActivationOptions {
  readonly mode: RoomSettings['mode'];
  readonly expectsContention: boolean;
}

export const NO_ACTIVATION: Activation = { services: new Map(), malformed: [] };

const MAX_PRIORITY = 1_000;

function isValid(priority: number): boolean {
  return Number.isFinite(priority) && priority >= 0 && priority <= MAX_PRIORITY;
}

/** The scale gives the least urgent level to a number that is not finite. */
function computeKnownPriority(priority: number): number {
  return isValid(priority) ? priority : Number.NaN;
}

function listMalformed(configuration: ForwardingConfiguration): readonly MalformedPriority[] {
  const routes = configuration.routes
    .filter(({ priority }) => !isValid(priority))
    .map(({ name, priority }) => ({
      kind: 'route' as const,
      owner: name,
      priority: String(priority),
    }));
  const organisations = (configuration.organisations ?? []).flatMap(({ name, priority }) =>
    priority === undefined || isValid(priority)
      ? []
      : { kind: 'organisation' as const, owner: name, priority: String(priority) },
  );
  return [...routes, ...organisations];
}

/** Priorities that streams of the route can have. */
function listPriorities(
  route: ForwardingRoute,
  organisations: readonly ForwardingOrganisation[] | undefined,
): readonly number[] {
  if (route.isPublic || organisations === undefined) return [route.priority];
  return organisations.map(({ priority }) => priority ?? route.priority);
}

export function computeActivation(
  configuration: ForwardingConfiguration,
  { mode, expectsContention }: ActivationOptions,
): Activation {
  const malformed = listMalformed(configuration);
  if (mode === 'off') return { ...NO_ACTIVATION, malformed };
  const { organisations } = configuration;
  const ownPriorities = new Map(organisations?.map(({ name, priority }) => [name, priority]));
  const services = new Map<string, ServiceUrgency>();
  for (const [name, { engine }] of configuration.services) {
    if (engine === undefined) continue;
    const routes = configuration.routes.filter(
      ({ isStream, shares }) =>
        isStream && shares.some(({ service, weight }) => service === name && weight > 0),
    );
    // Malformed ones are left out, so that they neither switch the service on nor move the levels of others.
    const priorities = new Set(
      routes.flatMap((route) => listPriorities(route, organisations)).filter(isValid),
    );
    if (mode !== 'on' && !expectsContention && priorities.size < 2) continue;
    const scale = Decisions.createUrgencyScale([...priorities]);
    services.set(name, {
      countLevels: scale.countLevels,
      getLevel: (route, organisation) => {
        const own = organisation === undefined ? undefined : ownPriorities.get(organisation);
        return scale.getLevel(computeKnownPriority(own ?? route.priority));
      },
    });
  }
  return { services, malformed };
}
