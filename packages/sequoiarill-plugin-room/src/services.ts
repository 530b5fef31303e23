/** Services that are active in the current configuration, and what is known of each. */
import type { Directory, LogEvent, OwnRepeats } from '@sequoiarill/types';

import * as Activations from './activation';
import type { Activation, ActivationOptions, ServiceUrgency } from './activation';
import * as Events from './events';
import * as ServiceStates from './serviceState';
import type { ServiceState } from './serviceState';

export interface ActiveServices {
  /** Undefined where the service is not active. */
  readonly findUrgency: (service: string) => ServiceUrgency | undefined;
  readonly findState: (service: string) => ServiceState | undefined;
  readonly listStates: () => ReadonlyMap<string, ServiceState>;
}

export interface ActiveServicesOptions extends ActivationOptions {
  readonly directory: Pick<Directory, 'getConfiguration'>;
  readonly getNowMs: () => number;
  readonly logEvent: LogEvent;
  readonly readRepeats: (service: string) => OwnRepeats;
}

export function createActiveServices(options: ActiveServicesOptions): ActiveServices {
  const { directory, getNowMs, logEvent, readRepeats } = options;
  const states = new Map<string, ServiceState>();
  let activation: Activation = Activations.NO_ACTIVATION;
  let version: number | undefined;

  function updateStates(): void {
    const removed = [...states.keys()].filter((service) => !activation.services.has(service));
    const added = [...activation.services.keys()].filter((service) => !states.has(service));
    removed.forEach((service) => states.delete(service));
    for (const service of added) {
      states.set(service, ServiceStates.createServiceState({ service, getNowMs, readRepeats }));
    }
    if (removed.length + added.length === 0) return;
    logEvent(Events.SERVICES_CHANGED, { version, services: [...states.keys()] });
  }

  function updateActivation(): void {
    const configuration = directory.getConfiguration();
    if (configuration === undefined || configuration.version === version) return;
    version = configuration.version;
    activation = Activations.computeActivation(configuration, options);
    for (const malformed of activation.malformed) {
      logEvent(Events.PRIORITY_MALFORMED, { version, ...malformed });
    }
    updateStates();
  }

  return {
    findUrgency(service) {
      updateActivation();
      return activation.services.get(service);
    },
    findState(service) {
      updateActivation();
      return states.get(service);
    },
    listStates() {
      updateActivation();
      return states;
    },
  };
}
