import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import * as Calls from '../../shared/__tests__/calls';
import * as Service from '..';

describe('plain service', () => {
  let service: Service.ServiceStandin;
  let url = '';

  async function startService(settings: Service.ServiceSettingsInput = {}): Promise<void> {
    service = Service.createServiceStandin(settings);
    url = `http://${(await service.start()).address}/labels?size=4`;
  }

  afterEach(async () => service.stop());

  async function sendOrder(key: string): Promise<Service.ServiceAnswer> {
    const response = await Calls.sendJson(url, { item: 7 }, { 'idempotency-key': key });
    return Calls.readJson<Service.ServiceAnswer>(response);
  }

  it('echoes a call and counts its runs by key', async () => {
    await startService();
    await sendOrder('k1');
    expect(await sendOrder('k1')).toEqual({
      method: 'POST',
      path: '/labels?size=4',
      count: 2,
      idempotencyKey: 'k1',
      body: '{"item":7}',
    });
  });

  it('replays the first answer where it checks keys', async () => {
    await startService({ checksIdempotencyKey: true });
    const answers = [await sendOrder('k1'), await sendOrder('k1'), await sendOrder('k2')];
    expect(answers.map((answer) => answer.count)).toEqual([1, 1, 1]);
    expect(service.getCounters()).toEqual({
      total: 2,
      replayed: 1,
      runsByKey: { k1: 1, k2: 1 },
    });
  });

  // Tests of "at most once" need a call that ran although its caller saw an error, because a retry
  // of such a call would run it twice.
  it('runs a call even if its answer is lost', async () => {
    await startService();
    await service.setFault({ kind: 'loseAnswers', count: 1 });
    await expect(sendOrder('k1')).toBeRejected();
    expect(service.getCounters().runsByKey.k1).toEqual(1);
  });

  it('runs calls received during a pause after it ends, even if the caller has disconnected', async () => {
    await startService();
    await service.setFault({ kind: 'pause' });
    const controller = new AbortController();
    const call = fetch(url, { method: 'POST', body: '{}', signal: controller.signal });
    await Calls.waitUntil(() => service.countWaiting() === 1);
    controller.abort();
    await expect(call).toBeRejected();
    expect(service.getCounters().total).toEqual(0);
    await service.setFault({ kind: 'unpause' });
    await Calls.waitUntil(() => service.getCounters().total === 1);
  });

  it('refuses connections after a crash, and fails fast without running calls', async () => {
    await startService();
    await service.setFault({ kind: 'die' });
    await expect(sendOrder('k1')).toBeRejected();
    await service.setFault({ kind: 'revive' });
    await service.setFault({ kind: 'failFast' });
    const response = await Calls.sendJson(url, {});
    expect([response.statusCode, service.getCounters().total]).toEqual([503, 0]);
    await response.body.dump();
  });
});
