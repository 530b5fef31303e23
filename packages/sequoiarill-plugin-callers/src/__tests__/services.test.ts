import { after, describe, it } from 'node:test';

import type { OrderOutcome, OrderRequest } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Calls from './calls';
import * as Fakes from './fakes';

const started = Fakes.startRouter();
after(async () => (await started).stop());

const DONE: OrderOutcome = {
  kind: 'done',
  status: 409,
  headers: { 'content-type': 'text/plain', 'x-from': 'stock', connection: 'x-hop', 'x-hop': '1' },
  body: Buffer.from('sold out'),
};

describe('requests to plain services', () => {
  it('are forwarded as the caller sent them, and answered as the service did', async () => {
    const router = await started;
    const receivedOrders: OrderRequest[] = [];
    router.setOrders(async (order) => {
      receivedOrders.push(order);
      return DONE;
    });
    const answer = await Calls.callOnce(`${router.url}/v1/services/stock/pairs/a%2Fb?q=1&q=%20`, {
      method: 'PATCH',
      headers: { 'Idempotency-Key': 'k', 'X-Shop': 's', 'Keep-Alive': 'x', TE: 'trailers' },
      body: Buffer.from([0, 255]),
    });
    const [order] = receivedOrders;
    expect([order?.service, order?.method, order?.path]).toEqual([
      'stock',
      'PATCH',
      '/pairs/a%2Fb?q=1&q=%20',
    ]);
    expect(order?.headers).toEqual({ 'idempotency-key': 'k', 'x-shop': 's' });
    expect([order?.idempotencyKey, order?.organisation.name]).toEqual(['k', 'shop']);
    expect(order?.body).toEqual(Buffer.from([0, 255]));
    expect([answer.status, answer.text]).toEqual([409, 'sold out']);
    expect([answer.headers['x-sequoiarill-outcome'], answer.headers['x-from']]).toEqual([
      'done',
      'stock',
    ]);
    expect(answer.headers['x-hop']).toEqual(undefined);
    expect(answer.headers['x-request-id']).toEqual(order?.requestId);
  });

  const NOT_RUN_STATUSES = [
    ['noTarget', 503],
    ['overloaded', 503],
    ['draining', 503],
    ['organisationLimit', 429],
    ['keyReused', 422],
    ['unknownService', 404],
  ] as const;
  for (const [reason, status] of NOT_RUN_STATUSES) {
    it(`report that they were not run: ${reason}`, async () => {
      const router = await started;
      const retryAfterSeconds = 2;
      router.setOrders(async () => ({ kind: 'notRun', reason, message: 'm', retryAfterSeconds }));
      const answer = await Calls.callOnce(`${router.url}/v1/services/stock`, { method: 'POST' });
      expect(answer.status).toEqual(status);
      expect(answer.headers['x-sequoiarill-outcome']).toEqual('not-run');
      expect(answer.headers['retry-after']).toEqual('2');
    });
  }

  const NOT_SENT_STATUSES = [
    ['platformAway', 503],
    ['inProgress', 409],
  ] as const;
  for (const [reason, status] of NOT_SENT_STATUSES) {
    it(`do not report "not run" when an earlier request may have run: ${reason}`, async () => {
      // A caller gets no answer to a booking and retries with the same key while the first request
      // runs or its claim cannot be read. "Not run" would be taken to apply to the booking as a
      // whole, and a retry with a new key would book twice.
      const router = await started;
      const retryAfterSeconds = 2;
      router.setOrders(async () => ({ kind: 'notRun', reason, message: 'm', retryAfterSeconds }));
      const answer = await Calls.callOnce(`${router.url}/v1/services/stock`, { method: 'POST' });
      expect(answer.status).toEqual(status);
      expect(answer.headers['x-sequoiarill-outcome']).toEqual('not-sent');
      expect(answer.headers['retry-after']).toEqual('2');
    });
  }

  it('are refused with an empty idempotency key', async () => {
    const router = await started;
    const headers = { 'Idempotency-Key': '' };
    const options = { method: 'POST', headers };
    const answer = await Calls.callOnce(`${router.url}/v1/services/stock`, options);
    expect(Calls.getError(answer)).toEqual([400, 'invalid_value', null]);
    expect(answer.headers['x-sequoiarill-outcome']).toEqual('not-run');
  });

  it('report an unknown outcome', async () => {
    // A booking may or may not have run. "Not run" would cause a second booking; a 502 without an
    // outcome would not tell the caller whether a retry is safe.
    const router = await started;
    router.setOrders(async () => ({ kind: 'unknown', message: 'The connection broke.' }));
    const answer = await Calls.callOnce(`${router.url}/v1/services/stock`, { method: 'POST' });
    expect(Calls.getError(answer)).toEqual([502, 'outcome_unknown', null]);
    expect(answer.headers['x-sequoiarill-outcome']).toEqual('unknown');
  });

  it('of another organisation are refused like those that do not exist', async () => {
    const router = await started;
    router.setOrders(async () => DONE);
    const key = Fakes.DOORS_KEY;
    const foreign = await Calls.callOnce(`${router.url}/v1/services/stock`, { key });
    const unknown = await Calls.callOnce(`${router.url}/v1/services/none`, { key });
    expect(Calls.getError(foreign)).toEqual([404, 'unknown_service', null]);
    expect(unknown.text).toEqual(foreign.text.replace('stock', 'none'));
  });
});
