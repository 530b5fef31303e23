import { once } from 'node:events';
import * as Http from 'node:http';
import { describe, it } from 'node:test';
import { text as readText } from 'node:stream/consumers';
import { setTimeout as startTimeout } from 'node:timers/promises';

import { expect } from 'earl';

import * as Fleets from '../fleet';

/** Idle timeout of a caller's connection; also sent to callers as a hint, in whole seconds. */
const KEEP_ALIVE_MS = 3_000;
/** Longer than the idle timeout, which passes meanwhile. */
const PAUSE_MS = 4_000;

interface Answer {
  readonly status: number;
  readonly isReused: boolean;
}

async function readModels(url: string, apiKey: string, agent: Http.Agent): Promise<Answer> {
  const request = Http.get(`${url}/v1/models`, {
    agent,
    headers: { authorization: `Bearer ${apiKey}` },
  });
  const [response] = (await once(request, 'response')) as [Http.IncomingMessage];
  await readText(response);
  return { status: response.statusCode ?? 0, isReused: request.reusedSocket };
}

describe('a router that is paused for longer than its idle timeout', () => {
  it('answers a request that was sent on a kept connection meanwhile', async () => {
    // After a pause timers fire before sockets are read. Guards against a router that closes the
    // connection as idle although a request waits in its socket.
    const fleet = await Fleets.startFleet({
      engines: 1,
      routerSettings: { callers: { keepAliveMs: KEEP_ALIVE_MS } },
    });
    const agent = new Http.Agent({ keepAlive: true, maxSockets: 1 });
    try {
      const [router] = fleet.routers;
      const { apiKey } = fleet;
      expect(await readModels(router!.callers, apiKey, agent)).toEqual({
        status: 200,
        isReused: false,
      });
      router!.daemon.send('SIGSTOP');
      const reading = readModels(router!.callers, apiKey, agent);
      reading.catch(() => undefined);
      await startTimeout(PAUSE_MS);
      router!.daemon.send('SIGCONT');
      expect(await reading).toEqual({ status: 200, isReused: true });
    } finally {
      agent.destroy();
      await fleet.stop();
    }
  });
});
