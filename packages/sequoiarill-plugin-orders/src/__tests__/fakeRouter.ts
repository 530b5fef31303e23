/** The order components of one router, with a given store, clock and function that sends orders. */
import type {
  Clock,
  KeyValueStore,
  Organisation,
  OrderOutcome,
  OrderRequest,
  PlainService,
} from '@sequoiarill/types';

import type { RunAttempts } from '../attempts';
import * as ClaimLeases from '../claimLeases';
import * as Claims from '../claims';
import * as ClaimWriters from '../claimWriter';
import type { ClaimWriter } from '../claimWriter';
import * as OrderRunners from '../orderRunner';
import type { RunOrder } from '../orderRunner';
import * as TransactionBatches from '../transactionBatches';

export const SERVICE: PlainService = {
  name: 'stock',
  checksIdempotencyKey: false,
  idempotentMethods: ['GET', 'PUT'],
  timeoutMs: 5_000,
};

const ORGANISATION: Organisation = {
  name: 'shop',
  models: [],
  services: ['stock'],
  keys: [],
  priority: 0,
  weight: 1,
  limits: { tokensPerSecond: 1, concurrentRequests: 1 },
  preference: 'resumeLatency',
};

export function createOrder(change: Partial<OrderRequest> = {}): OrderRequest {
  return {
    requestId: 'order_1',
    organisation: ORGANISATION,
    service: 'stock',
    method: 'POST',
    path: '/reservations',
    headers: {},
    body: Buffer.from('one pair'),
    idempotencyKey: 'key-1',
    signal: new AbortController().signal,
    ...change,
  };
}

export interface FakeRouter {
  readonly runOrder: RunOrder;
  readonly writer: ClaimWriter;
}

export interface FakeRouterOptions {
  readonly name: string;
  readonly store: Pick<KeyValueStore, 'writeTransaction' | 'grantLease'>;
  readonly clock: Clock;
  readonly runAttempts: RunAttempts;
}

export const CLAIM_SECONDS = 86_400;

export function createFakeRouter(options: FakeRouterOptions): FakeRouter {
  const { clock, name, runAttempts, store } = options;
  const batcher = TransactionBatches.createTransactionBatcher({
    store,
    clock,
    batchWindowMs: 3,
    nonUrgentDelayMs: 50,
    minCallIntervalMs: 30,
    recordCall: () => undefined,
  });
  const leases = ClaimLeases.createLeaseCache(store, clock);
  const claimSeconds = CLAIM_SECONDS;
  const writer = ClaimWriters.createClaimWriter({
    batcher,
    leases,
    clock,
    claimSeconds,
    recordDroppedResult: () => undefined,
  });
  let claimCount = 0;
  const claims = Claims.createClaimRegistry({
    batcher,
    leases,
    writer,
    clock,
    router: name,
    prefix: '/claims/',
    claimSeconds,
    createClaimId() {
      claimCount += 1;
      return `${name}-${claimCount}`;
    },
  });
  const runOrder = OrderRunners.createOrderRunner({
    clock,
    journal: { recordDecision: () => undefined, explainRequest: () => undefined },
    configuration: {
      getConfiguration: () => ({
        revision: 1,
        models: new Map(),
        organisations: new Map(),
        keysById: new Map(),
        services: new Map([[SERVICE.name, SERVICE]]),
        targets: new Map(),
      }),
      subscribeConfiguration: () => () => undefined,
    },
    claims,
    runAttempts,
  });
  return { runOrder, writer };
}

export function createDone(text: string): OrderOutcome {
  return { kind: 'done', status: 201, headers: { 'x-from': 'stock' }, body: Buffer.from(text) };
}
