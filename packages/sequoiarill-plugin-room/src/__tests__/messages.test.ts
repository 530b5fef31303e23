import { describe, it } from 'node:test';

import type { RoomFacts, RoomMessage } from '@sequoiarill/types';
import { expect } from 'earl';

import * as FactSums from '../factSums';
import { SERVICE, createFleet, listEvents } from './virtualFleet';
import type { VirtualRouter } from './virtualFleet';

/** A fleet whose first router collects alone, and a message of the second one. */
async function createCollector() {
  const fleet = createFleet(['a', 'b'], 2);
  type Three = [VirtualRouter, VirtualRouter, VirtualRouter];
  const [receiver, sender, elsewhere] = fleet.routers as Three;
  for (const router of fleet.routers) if (router !== receiver) router.isDown = true;
  fleet.setLinks(() => false);
  await fleet.runFor(20_000);
  const facts: RoomFacts = {
    ...FactSums.createEmptyFacts(SERVICE),
    repeats: { requests: 10, retries: 1, capacity: 2 },
    routers: 1,
  };
  const header = { router: sender.address, zone: 'a', scope: 'router', isEnding: false } as const;
  const message: RoomMessage = { ...header, incarnation: 5, sequence: 5, facts: [facts] };
  async function sendRequests(requests: number, changes: Partial<RoomMessage>) {
    const repeats = { ...facts.repeats, requests };
    const changed = { ...message, facts: [{ ...facts, repeats }], ...changes };
    const [answer] = await receiver.handle(changed);
    return (answer?.repeats.requests ?? 0) - receiver.repeats.requests;
  }
  return { fleet, receiver, sender, elsewhere, message, sendRequests };
}

describe('messages', () => {
  it('drops reports that are doubled, late or of an earlier incarnation', async () => {
    const { fleet, sendRequests } = await createCollector();
    expect(await sendRequests(10, {})).toEqual(10);
    expect(await sendRequests(20, {})).toEqual(10);
    expect(await sendRequests(30, { sequence: 4 })).toEqual(10);
    expect(await sendRequests(40, { incarnation: 4, sequence: 9 })).toEqual(10);
    expect(await sendRequests(50, { sequence: 6 })).toEqual(50);
    expect(await sendRequests(60, { incarnation: 6, sequence: 1 })).toEqual(60);
    // A report of the ended process that was on its way.
    await sendRequests(0, { incarnation: 6, sequence: 9, isEnding: true });
    expect(await sendRequests(70, { incarnation: 6, sequence: 8 })).toEqual(0);
    await fleet.runFor(10_000);
    expect(await sendRequests(80, { incarnation: 1, sequence: 1 })).toEqual(80);
  });

  it('forgets reports after 6 s and drops late sums of zones', async () => {
    const { fleet, receiver, elsewhere, message, sendRequests } = await createCollector();
    await sendRequests(10, {});
    const zone: Partial<RoomMessage> = { scope: 'zone', zone: 'b', router: elsewhere.address };
    await sendRequests(1_000, { ...zone, sequence: 6 });
    await sendRequests(3_000, { ...zone, sequence: 5 });
    expect(await sendRequests(20, { sequence: 6 })).toEqual(1_020);
    await fleet.runFor(6_000);
    const [answer] = await receiver.handle({ ...message, sequence: 9, facts: message.facts });
    expect(answer?.repeats.requests).toEqual(110);
  });

  it('refuses senders that are no routers or not in the zone that they name', async () => {
    const { fleet, receiver, sender, elsewhere, message, sendRequests } = await createCollector();
    const before = receiver.events.length;
    const forged: readonly Partial<RoomMessage>[] = [
      { router: '10.9.9.9:70' },
      { router: receiver.address },
      { router: elsewhere.address },
      { router: elsewhere.address, zone: 'b' },
      { scope: 'zone' },
    ];
    for (const header of forged) {
      await expect(receiver.handle({ ...message, ...header })).toBeRejected();
      await expect(receiver.handle({ ...message, ...header })).toBeRejected();
    }
    const refused = receiver.events.slice(before).map(({ fields }) => fields);
    const senders = ['10.9.9.9:70', receiver.address, elsewhere.address, sender.address];
    expect(refused).toEqual(senders.map((name) => expect.subset({ sender: name })));
    expect(await sendRequests(10, {})).toEqual(10);
    await fleet.runFor(60_000);
    await expect(receiver.handle({ ...message, router: '10.9.9.9:70' })).toBeRejected();
    expect(listEvents(receiver).filter((name) => name === 'room.messageRefused').length).toEqual(5);
  });

  it('bounds the lines about forged senders', async () => {
    const { receiver, message } = await createCollector();
    for (let index = 0; index < 1_000; index += 1) {
      await expect(receiver.handle({ ...message, router: `forged${index}` })).toBeRejected();
    }
    const refused = listEvents(receiver).filter((name) => name === 'room.messageRefused');
    expect(refused.length).toEqual(101);
  });

  it('ignores services that are not active and bounds what faulty sources return', async () => {
    const { receiver, message } = await createCollector();
    const unknown = FactSums.createEmptyFacts('unknown');
    expect(await receiver.handle({ ...message, facts: [unknown] })).toEqual([]);
    receiver.repeats = { requests: Number.NaN, retries: -5, capacity: 1e300, isSettled: true };
    const [answer] = await receiver.handle({ ...message, sequence: 7 });
    expect(answer?.repeats).toEqual({ requests: 10, retries: 1, capacity: 1e7 });
  });

  it('sums small organisations beyond the limit of a message', () => {
    const organisations = Array.from({ length: 100 }, (_, index) => ({
      organisation: `o${index}`,
      demand: [0, index],
      served: [0, 1],
    }));
    const facts = { ...FactSums.createEmptyFacts(SERVICE), organisations };
    const limited = FactSums.buildMessageFacts(facts).organisations;
    expect(limited.length).toEqual(32);
    expect(limited[0]?.organisation).toEqual('o99');
    const total = FactSums.computeTotal(limited.flatMap(({ demand }) => demand));
    expect(total).toBeCloseTo(4_950, 10);
    expect(limited[31]).toEqual({ organisation: '', demand: [0, 2_350], served: [0, 69] });
  });

  it('stays within its bytes and calls in a fleet of 60 routers in 4 zones', async () => {
    const fleet = createFleet(['a', 'b', 'c', 'd'], 15);
    for (const router of fleet.routers) {
      for (let index = 0; index < 3; index += 1) {
        const organisation = `organisation${index}`;
        fleet.loads.push({ router, organisation, level: index, demand: 10, served: 10 });
      }
    }
    await fleet.runFor(11_000);
    fleet.calls.length = 0;
    await fleet.runFor(10_000);
    // 56 reports, 4 copies of collectors' reports and 12 sums of zones every 2 s.
    expect(fleet.calls.length / 10).toBeCloseTo(36, 4);
    const usual = fleet.calls.map(({ message }) => JSON.stringify(message).length);
    expect(Math.max(...usual)).toBeLessThan(700);

    const levels = [1_234.5678, 234.5678, 34.5678];
    const work = { demand: levels, served: levels };
    const indices = [...Array(64).keys()];
    const largest = FactSums.buildMessageFacts({
      ...FactSums.createEmptyFacts(SERVICE),
      organisations: indices
        .slice(0, 32)
        .map((index) => ({ organisation: `organisation-${index}`, ...work })),
      speeds: indices.map((index) => ({
        engine: `engine-a-${index}@1764800000000`,
        factor: 1.234,
      })),
    });
    expect(JSON.stringify(largest).length).toBeLessThan(7_000);
  });
});
