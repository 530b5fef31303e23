import { describe, it } from 'node:test';

import type { EngineTarget, TargetReport } from '@sequoiarill/types';
import { expect } from 'earl';
import * as Undici from 'undici';

import * as LoadPollers from '../loadPoller';

const ENGINES = 40;
const ROUTERS = Array.from({ length: 8 }, (_unused, index) => `router-${index}`);

const engines: readonly EngineTarget[] = Array.from({ length: ENGINES }, (_unused, index) => ({
  kind: 'engine',
  name: `engine-${index}`,
  vm: `vm-${index}`,
  zone: 'z1',
  address: `127.0.0.1:${9000 + index}`,
  vmState: 'live',
  models: ['fit'],
  slots: 8,
  checksFencing: true,
}));

/** Polls one round and returns the reports; engines with odd numbers refuse the connection. */
async function runRound(routerName: string, routers: readonly string[]) {
  const agent = new Undici.MockAgent();
  agent.disableNetConnect();
  const reports: TargetReport[] = [];
  for (const [index, { address }] of engines.entries()) {
    const intercept = agent.get(`http://${address}`).intercept({ path: '/load', method: 'GET' });
    if (index % 2 === 0) {
      intercept.reply(200, { running: index, waiting: 1, draining: index === 4 });
    } else intercept.replyWithError(new Error('refused'));
  }
  const poller = LoadPollers.createLoadPoller({
    routerName,
    pools: {
      getPool: ({ address }) => ({ dispatcher: agent, origin: `http://${address}` }),
    },
    reportTarget: (report) => reports.push(report),
  });
  await poller.runRound(engines, routers);
  await agent.close();
  return reports;
}

describe('load poller', () => {
  it('polls every engine if there is one router, and reports only engines that responded', async () => {
    const reports = await runRound('router-0', ['router-0']);
    expect(reports.length).toEqual(ENGINES / 2);
    const draining = reports.filter(({ state }) => state === 'leaving');
    expect(draining).toEqual([{ target: 'engine-4', state: 'leaving', running: 4, waiting: 1 }]);
  });

  it('polls each engine from two routers only, so that calls do not grow with routers', async () => {
    // If each of a zone's eight routers polled every engine, an engine would be polled eight times per
    // round for the same information, and control traffic would exceed its budget.
    const rounds = await Promise.all(ROUTERS.map((name) => runRound(name, ROUTERS)));
    const polls = new Map<string, number>();
    for (const { target } of rounds.flat()) polls.set(target, (polls.get(target) ?? 0) + 1);
    expect(polls.size).toEqual(ENGINES / 2);
    expect([...polls.values()].every((count) => count === 2)).toEqual(true);
  });
});
