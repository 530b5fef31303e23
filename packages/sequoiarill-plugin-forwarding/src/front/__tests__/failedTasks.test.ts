import { describe, it } from 'node:test';
import type { ServerResponse } from 'node:http';

import { expect } from 'earl';
import { ServiceBroker } from 'moleculer';
import * as Undici from 'undici';

import * as HttpFrontEnds from '../httpFrontEnd';

const LISTEN = '127.0.0.1:0';

/** Sends a request whose task writes this and then fails; returns its status and the number of logged errors. */
async function sendToFailingTask(
  write: (response: ServerResponse) => void,
): Promise<readonly [number | 'broken', number]> {
  let failures = 0;
  const fail = async (_request: unknown, response: ServerResponse): Promise<void> => {
    write(response);
    throw new Error('an internal error');
  };
  const frontEnd = HttpFrontEnds.createHttpFrontEnd({
    settings: { listen: LISTEN, readinessListen: LISTEN } as never,
    handleRequest: fail,
    handleRelayed: fail,
    isReady: () => true,
    logFailure() {
      failures += 1;
    },
  });
  const broker = new ServiceBroker({ logger: false });
  frontEnd.services.forEach((service) => broker.createService(service));
  await broker.start();
  await frontEnd.start();
  try {
    const url = `http://${frontEnd.getAddresses().listen}/x`;
    const status = await Undici.request(url)
      .then(async ({ statusCode, body }) => {
        await body.text();
        return statusCode;
      })
      .catch(() => 'broken' as const);
    return [status, failures];
  } finally {
    await frontEnd.stop();
    await broker.stop();
  }
}

describe('a request whose task fails with an internal error', () => {
  it('is answered with 502', async () => {
    // Guards against a request that was read whole and ends with a closed connection.
    expect(await sendToFailingTask(() => undefined)).toEqual([502, 1]);
  });

  it('has its answer broken off where it has begun', async () => {
    // Guards against half an answer that looks complete.
    const seen = await sendToFailingTask((response) => {
      response.writeHead(200, { 'content-length': 9 });
      response.flushHeaders();
    });
    expect(seen).toEqual(['broken', 1]);
  });
});
