/** Calls on leases: grant, keep-alive, revoke and time-to-live. */
import * as Responses from './responses';
import type { CallResult } from './keyCalls';
import * as Errors from './errors';
import type { Leases } from './leases';
import type { PlatformClock } from './settings';
import type { Store } from './store';

const MS_PER_SECOND = 1_000;
/** The time to live that is returned for a lease that does not exist. */
const MISSING_LEASE_TTL = '-1';

export interface LeaseCalls {
  readonly grantLease: (id: string, ttlSeconds: number) => CallResult;
  readonly updateLease: (id: string) => CallResult;
  readonly revokeLease: (id: string) => CallResult;
  readonly readLease: (id: string, includesKeys: boolean) => CallResult;
}

export function createLeaseCalls(store: Store, leases: Leases, clock: PlatformClock): LeaseCalls {
  function buildHeader(): Responses.GatewayResponse {
    return Responses.buildHeader(store.getRevision());
  }

  return {
    grantLease(id, ttlSeconds) {
      const lease = leases.addLease(id, ttlSeconds);
      if (lease === undefined) return Errors.LEASE_EXISTS;
      return { header: buildHeader(), ID: lease.id, TTL: String(lease.grantedSeconds) };
    },
    /**
     * Keep-alive is a streaming call in the published interface, so the response is wrapped in
     * `result`.
     */
    updateLease(id) {
      const ttl = leases.updateLease(id)?.grantedSeconds ?? 0;
      const result = Responses.buildResponse({ header: buildHeader(), ID: id, TTL: String(ttl) });
      return { result };
    },
    revokeLease: (id) =>
      leases.removeLease(id) ? { header: buildHeader() } : Errors.LEASE_NOT_FOUND,
    readLease(id, includesKeys) {
      const lease = leases.findLease(id);
      if (lease === undefined) return { header: buildHeader(), ID: id, TTL: MISSING_LEASE_TTL };
      const leftMs = lease.expiresAtMs - clock.getNowMs();
      const keys = includesKeys ? leases.listKeys(id) : [];
      return Responses.buildResponse({
        header: buildHeader(),
        ID: id,
        TTL: String(Math.ceil(leftMs / MS_PER_SECOND)),
        grantedTTL: String(lease.grantedSeconds),
        keys: keys.map((key) => Buffer.from(key, 'latin1').toString('base64')),
      });
    },
  };
}
