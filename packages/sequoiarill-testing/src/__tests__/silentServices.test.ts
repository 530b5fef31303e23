import { describe, it } from 'node:test';
import { setTimeout as startTimeout } from 'node:timers/promises';

import { expect } from 'earl';
import * as Undici from 'undici';

import * as OrderCallers from '../matrix/orderCallers';
import * as RouterCells from '../matrix/routerCells';
import * as Waiting from '../matrix/waiting';
import * as Deployments from '../matrix/deployment';

const CONCURRENCY = 3;
const SILENCE_MS = 3_000;
const LONG_TIMEOUT_MS = 15_000;
const SHORT_TIMEOUT_MS = 1_000;
/** Longer than the time limit of the order. */
const ROUTER_PAUSE_MS = 1_600;
/** Shorter than the time limit of the order, so that the answer is in time. */
const ANSWER_DELAY_MS = 300;

describe('orders at services that fall silent', { concurrency: CONCURRENCY }, () => {
  for (const checksIdempotencyKey of [true, false]) {
    it(`wait for their answer and run once, key checked: ${checksIdempotencyKey}`, async () => {
      // Guards against an order that is given up, or sent a second time, because the service is silent
      // for a time that is shorter than the order's limit.
      const agent = new Undici.Agent();
      const deployment = await Deployments.startDeployment({
        engines: 1,
        services: 2,
        checksIdempotencyKey,
        serviceTimeoutMs: LONG_TIMEOUT_MS,
      });
      try {
        const { services, apiKey } = deployment;
        const url = deployment.routers[0]!.callers;
        await Promise.all(services.map((service) => service.setFault({ kind: 'pause' })));
        const keys = Array.from({ length: 6 }, OrderCallers.createIdempotencyKey);
        const sending = keys.map((idempotencyKey) =>
          OrderCallers.sendOrder({ url, apiKey, idempotencyKey, agent }),
        );
        await startTimeout(SILENCE_MS);
        await Promise.all(services.map((service) => service.setFault({ kind: 'unpause' })));
        const answers = await Promise.all(sending);
        expect(answers.map(({ outcome }) => outcome)).toEqual(keys.map(() => 'done'));
        const runs = keys.map((key) => OrderCallers.countRuns(deployment, key));
        expect(runs).toEqual(keys.map(() => 1));
      } finally {
        await agent.destroy();
        await deployment.stop();
      }
    });
  }

  it('keep an answer that arrived in time while their router was paused', async () => {
    // After a pause timers fire before sockets are read. Guards against an order that ends as unknown
    // although its answer, which came before its time limit, waits in the router's socket.
    const agent = new Undici.Agent();
    const options = { engines: 1, serviceTimeoutMs: SHORT_TIMEOUT_MS };
    await RouterCells.runWithRouter(options, async ({ deployment, router }) => {
      const service = deployment.services[0]!;
      await service.setFault({ kind: 'slow', ms: ANSWER_DELAY_MS });
      const idempotencyKey = OrderCallers.createIdempotencyKey();
      const { apiKey } = deployment;
      const sending = OrderCallers.sendOrder({
        url: router.callers,
        apiKey,
        idempotencyKey,
        agent,
      });
      await Waiting.waitUntil('the order ran', () => service.getCounters().total === 1);
      router.daemon.send('SIGSTOP');
      await startTimeout(ROUTER_PAUSE_MS);
      router.daemon.send('SIGCONT');
      expect((await sending).outcome).toEqual('done');
      expect(OrderCallers.countRuns(deployment, idempotencyKey)).toEqual(1);
    }).finally(async () => agent.destroy());
  });
});
