import * as Net from 'node:net';
import { after, before, describe, it } from 'node:test';
import { setTimeout as startTimeout } from 'node:timers/promises';

import { expect } from 'earl';

import { ENDLESS_FORMS } from '../endlessAnswers';
import * as Targets from '../targetStandin';

const REQUEST = 'POST /orders/x HTTP/1.1\r\nhost: a\r\nrequest-id: r1\r\ncontent-length: 0\r\n\r\n';
const FLOW_BYTES = 100_000;
/** Above what the buffers of the system and of both processes hold. */
const UNREAD_BYTES = 20_000_000;

describe('answers without end', () => {
  const target = Targets.createTargetStandin('target');
  let address = '';

  before(async () => {
    address = await target.start();
  });
  after(() => target.stop());

  function openConnection(): Net.Socket {
    const [host = '', port] = address.split(':');
    const socket = Net.connect(Number(port), host);
    socket.write(REQUEST);
    return socket;
  }

  async function readFlow(): Promise<void> {
    const socket = openConnection();
    let bytes = 0;
    await new Promise<void>((resolve) => {
      socket.on('data', (chunk) => {
        bytes += chunk.length;
        if (bytes > FLOW_BYTES) resolve();
      });
    });
    socket.destroy();
  }

  async function waitForEnd(): Promise<void> {
    const isOpen = () => target.listEndlessFlows().some((flow) => flow.endedAtMs === undefined);
    while (isOpen() || target.countInFlight() > 0) await startTimeout(5);
  }

  it('go on in every form until the reader closes, and are counted', async () => {
    // Failure: a form that ends by itself, or whose end is not seen, makes every router look right or wrong.
    target.setEndless({ forms: ENDLESS_FORMS });
    for (let index = 0; index < ENDLESS_FORMS.length; index += 1) await readFlow();
    await waitForEnd();
    const flows = target.listEndlessFlows();
    expect(flows.map(({ form }) => form)).toEqual([...ENDLESS_FORMS]);
    expect(flows.every(({ bytes }) => bytes > FLOW_BYTES)).toEqual(true);
    // Only the form that says that the request was not run has no run.
    expect(target.listRuns().length).toEqual(ENDLESS_FORMS.length - 1);
  });

  it('stop growing while their reader takes nothing', async () => {
    // Failure: the memory of the stand-in grows, and the bytes that a router took are not known.
    target.setEndless({ forms: ['body'], bytesPerSecond: Number.POSITIVE_INFINITY });
    const socket = openConnection();
    socket.pause();
    let bytes = -1;
    for (;;) {
      await startTimeout(200);
      const current = target.listEndlessFlows().at(-1)?.bytes ?? 0;
      if (current > 0 && current === bytes) break;
      bytes = current;
      expect(bytes).toBeLessThan(UNREAD_BYTES);
    }
    socket.destroy();
    await waitForEnd();
  });
});
