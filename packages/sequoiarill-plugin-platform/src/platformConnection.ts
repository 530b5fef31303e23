/** Connects to the key-value service that the settings section `[platform]` describes. */
import { readFileSync } from 'node:fs';

import * as CallCounters from './callCounter';
import type { CallCounter, CallMetrics } from './callCounter';
import * as GatewayClients from './gatewayClient';
import * as KeyValueStores from './keyValueStore';
import type { PlatformStore } from './keyValueStore';
import type { PlatformSettings } from './platformSettings';

export interface PlatformConnection {
  readonly store: PlatformStore;
  readonly counter: CallCounter;
  readonly close: () => Promise<void>;
}

export type ConnectionSettings = Pick<
  PlatformSettings,
  'endpoints' | 'keyPrefix' | 'callTimeoutMs' | 'username' | 'passwordFile'
>;

function readCredentials(settings: ConnectionSettings) {
  const { username, passwordFile } = settings;
  if (username === undefined || passwordFile === undefined) return {};
  return { credentials: { username, password: readFileSync(passwordFile, 'utf8').trim() } };
}

export function openPlatform(
  settings: ConnectionSettings,
  metrics: CallMetrics,
): PlatformConnection {
  const { endpoints, callTimeoutMs, keyPrefix } = settings;
  const credentials = readCredentials(settings);
  const gateway = GatewayClients.createGatewayClient({
    endpoints,
    callTimeoutMs,
    ...credentials,
  });
  const counter = CallCounters.createCallCounter(metrics);
  const store = KeyValueStores.createKeyValueStore({ gateway, counter, keyPrefix });
  return { store, counter, close: gateway.close };
}
