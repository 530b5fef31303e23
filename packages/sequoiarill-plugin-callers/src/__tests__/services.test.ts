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
  it('go out as the caller sent them and come back as the service answered', async () => {
    const router = await started;
    const seen: OrderRequest[] = [];
    router.setOrders(async (order) => {
      seen.push(order);
      return DONE;
    });
    const answer = await Calls.callOnce(`${router.url}/v1/services/stock/pairs/a%2Fb?q=1&q=%20`, {
      method: 'PATCH',
      headers: { 'Idempotency-Key': 'k', 'X-Shop': 's', 'Keep-Alive': 'x', TE: 'trailers' },
      body: Buffer.from([0, 255]),
    });
    const [order] = seen;
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

  const NOT_RUN = [
    ['noTarget', 503],
    ['overloaded', 503],
    ['draining', 503],
    ['organisationLimit', 429],
    ['keyReused', 422],
    ['unknownService', 404],
  ] as const;
  for (const [reason, status] of NOT_RUN) {
    it(`are told that they were not run: ${reason}`, async () => {
      const router = await started;
      const retryAfterSeconds = 2;
      router.setOrders(async () => ({ kind: 'notRun', reason, message: 'm', retryAfterSeconds }));
      const answer = await Calls.callOnce(`${router.url}/v1/services/stock`, { method: 'POST' });
      expect(answer.status).toEqual(status);
      expect(answer.headers['x-sequoiarill-outcome']).toEqual('not-run');
      expect(answer.headers['retry-after']).toEqual('2');
    });
  }

  const NOT_SENT = [
    ['platformAway', 503],
    ['inProgress', 409],
  ] as const;
  for (const [reason, status] of NOT_SENT) {
    it(`are not told "not run" where an earlier sending may have run: ${reason}`, async () => {
      // A technician books, hears nothing, and books again with the same key while the first booking
      // runs or its claim can't be read. "Not run" would be read as true of the booking, and a second
      // one with a new key would send two crews.
      const router = await started;
      const retryAfterSeconds = 2;
      router.setOrders(async () => ({ kind: 'notRun', reason, message: 'm', retryAfterSeconds }));
      const answer = await Calls.callOnce(`${router.url}/v1/services/stock`, { method: 'POST' });
      expect(answer.status).toEqual(status);
      expect(answer.headers['x-sequoiarill-outcome']).toEqual('not-sent');
      expect(answer.headers['retry-after']).toEqual('2');
    });
  }

  it('are refused with an empty key', async () => {
    const router = await started;
    const headers = { 'Idempotency-Key': '' };
    const options = { method: 'POST', headers };
    const answer = await Calls.callOnce(`${router.url}/v1/services/stock`, options);
    expect(Calls.getError(answer)).toEqual([400, 'invalid_value', null]);
    expect(answer.headers['x-sequoiarill-outcome']).toEqual('not-run');
  });

  it('are told when the outcome is unknown', async () => {
    // A booking may or may not have run. "Not run" would bring a second crew; a plain 502 would
    // leave the technician guessing which of the two it was.
    const router = await started;
    router.setOrders(async () => ({ kind: 'unknown', message: 'The connection broke.' }));
    const answer = await Calls.callOnce(`${router.url}/v1/services/stock`, { method: 'POST' });
    expect(Calls.getError(answer)).toEqual([502, 'outcome_unknown', null]);
    expect(answer.headers['x-sequoiarill-outcome']).toEqual('unknown');
  });

  it('of another organisation look like those that do not exist', async () => {
    const router = await started;
    router.setOrders(async () => DONE);
    const key = Fakes.DOORS_KEY;
    const theirs = await Calls.callOnce(`${router.url}/v1/services/stock`, { key });
    const none = await Calls.callOnce(`${router.url}/v1/services/none`, { key });
    expect(Calls.getError(theirs)).toEqual([404, 'unknown_service', null]);
    expect(none.text).toEqual(theirs.text.replace('stock', 'none'));
  });
});
