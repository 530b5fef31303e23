import { after, before, describe, it } from 'node:test';
import { setTimeout as startTimeout } from 'node:timers/promises';

import { expect } from 'earl';
import * as Undici from 'undici';

import * as QueueingEngines from '../queueingEngine';
import { formatEvents } from '../streamEvents';
import * as Targets from '../targetStandin';

const SILENCE_MS = 400;
const EVENT_COUNT = 10;
const EVENT_MS = 20;

const STANDINS = [
  Targets.createTargetStandin('target', { eventCount: EVENT_COUNT, eventMs: EVENT_MS }),
  QueueingEngines.createQueueingEngine('engine', { eventCount: EVENT_COUNT, eventMs: EVENT_MS }),
] as const;

for (const standin of STANDINS) {
  describe(`the stand-in ${standin.id}`, () => {
    let address = '';
    const agent = new Undici.Agent({ pipelining: 0 });

    before(async () => {
      address = await standin.start();
    });
    after(async () => {
      await agent.destroy();
      await standin.stop();
    });

    async function sendStream(id: string, signal?: AbortSignal): Promise<string> {
      const answer = await Undici.request(`http://${address}/advice/x`, {
        method: 'POST',
        dispatcher: agent,
        headers: { 'request-id': id, accept: 'text/event-stream', 'token-usage': '10,50' },
        ...(signal === undefined ? {} : { signal }),
      });
      return answer.body.text();
    }

    async function waitForSilence(): Promise<void> {
      await startTimeout(EVENT_MS * 4);
      standin.setSilent(true);
      await startTimeout(SILENCE_MS);
      standin.setSilent(false);
    }

    it('goes on with its runs after a silence, and reads what arrived meanwhile', async () => {
      // Failure: runs that go on or break off during a silence make every router look right or wrong.
      const silence = waitForSilence();
      const early = sendStream('early');
      await startTimeout(EVENT_MS * 4 + SILENCE_MS / 4);
      const runs = standin.listRuns().length;
      const late = sendStream('late');
      await startTimeout(SILENCE_MS / 2);
      expect(standin.listRuns().length).toEqual(runs);
      await silence;
      expect(await early).toEqual(formatEvents('early', 1, EVENT_COUNT));
      expect(await late).toEqual(formatEvents('late', 1, EVENT_COUNT));
    });

    it('ends a run after a silence in which its caller left', async () => {
      // Failure: runs whose connection was closed meanwhile keep their room for good.
      const leaving = new AbortController();
      const left = sendStream('left', leaving.signal).catch(() => undefined);
      const silence = waitForSilence();
      await startTimeout(EVENT_MS * 4 + SILENCE_MS / 4);
      leaving.abort();
      await left;
      await startTimeout(EVENT_MS);
      expect(standin.countInFlight()).toEqual(1);
      await silence;
      await startTimeout(EVENT_MS * 4);
      expect(standin.countInFlight()).toEqual(0);
    });

    it('accepts connections and answers nothing once it is silent for good', async () => {
      // Failure: a target that should look dead is back as soon as the others are.
      standin.stopSilently();
      standin.setSilent(false);
      const leaving = AbortSignal.timeout(SILENCE_MS);
      await expect(sendStream('never', leaving)).toBeRejectedWith('aborted due to timeout');
    });
  });
}
