import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, afterEach, describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type {
  Configuration,
  OrderOutcome,
  OrderRequest,
  PlainService,
  Plugin,
  ServiceTarget,
  VmState,
} from '@sequoiarill/types';
import { expect } from 'earl';

import { plugin } from '../plugin';
import { settingsSchema } from '../settings';
import * as FakeRouters from './fakeRouter';
import * as FakeStores from './fakeStore';

type Answer = (request: Http.IncomingMessage, response: Http.ServerResponse) => void;

interface TestTarget {
  readonly target: ServiceTarget;
  readonly getSeen: () => readonly Http.IncomingMessage[];
}

const closers: (() => Promise<unknown>)[] = [];
const NO_KEY = { idempotencyKey: undefined } as unknown as Partial<OrderRequest>;

async function closeAll(): Promise<void> {
  while (closers.length > 0) await closers.pop()?.();
}
afterEach(closeAll);
after(closeAll);

function createTarget(name: string, address: string, vmState: VmState = 'live'): ServiceTarget {
  return { kind: 'service', name, vm: name, zone: 'z1', address, vmState, service: 'stock' };
}

async function startTarget(name: string, answer: Answer, vmState?: VmState): Promise<TestTarget> {
  const seen: Http.IncomingMessage[] = [];
  const server = Http.createServer((request, response) => {
    seen.push(request);
    request.resume();
    request.on('end', () => answer(request, response));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closers.push(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return { target: createTarget(name, address, vmState), getSeen: () => seen };
}

/** An address that refuses connections: a port that was free a moment ago. */
async function createRefusing(name: string): Promise<ServiceTarget> {
  const { target } = await startTarget(name, () => undefined);
  await closers.pop()?.();
  return target;
}

async function startOrders(
  targets: readonly ServiceTarget[],
  change: Partial<PlainService> = {},
  settings: Readonly<Record<string, unknown>> = {},
): Promise<(order?: Partial<OrderRequest>) => Promise<OrderOutcome>> {
  const service = { ...FakeRouters.SERVICE, ...change };
  const configuration: Configuration = {
    revision: 1,
    models: new Map(),
    organisations: new Map(),
    keysById: new Map(),
    services: new Map([[service.name, service]]),
    targets: new Map(targets.map((target) => [target.name, target])),
  };
  const store = FakeStores.createFakeStore().openStore(
    async () => undefined,
    () => 'none',
  );
  const fakes = {
    name: 'fakes',
    settingsSchema,
    provides: ['configuration', 'keyValue'],
    needs: [],
    events: [],
    createInstance: () => ({
      capabilities: {
        configuration: {
          getConfiguration: () => configuration,
          subscribeConfiguration: () => () => undefined,
        },
        keyValue: store,
      },
      dumpState: () => ({}),
    }),
  } as unknown as Plugin;
  const kernel = Kernel.createKernel({
    settings: {
      process: { name: 'router-1', zone: 'z1', region: 'r1' },
      telemetry: { logLevel: 'silent' },
      plugins: new Map([['orders', settingsSchema.parse(settings)]]),
    },
    plugins: [fakes, plugin as Plugin],
  });
  await kernel.start();
  closers.push(kernel.stop);
  const orders = kernel.getCapability('orders');
  return async (order = {}) => orders.runOrder(FakeRouters.createOrder(order));
}

const answerFine: Answer = (request, response) => {
  response.writeHead(201, { 'x-from': 'stock' }).end(`${request.method} ${request.url}`);
};
const resetConnection: Answer = (request) => {
  request.socket.resetAndDestroy();
};
const stayQuiet: Answer = () => undefined;

describe('orders over sockets', () => {
  it('pass on what the service answers', async () => {
    const good = await startTarget('good', answerFine);
    const runOrder = await startOrders([good.target]);
    const outcome = await runOrder({ path: '/labels?size=42', ...NO_KEY });
    expect(outcome.kind === 'done' && [outcome.status, outcome.headers['x-from']]).toEqual([
      201,
      'stock',
    ]);
    expect(outcome.kind === 'done' && Buffer.from(outcome.body).toString()).toEqual(
      'POST /labels?size=42',
    );
  });

  it('go to another target when no byte was sent', async () => {
    // One of two stock servers is down; its machine refuses connections. A reservation that meets
    // it has not run there, so it may go to the other one, also if it may not be repeated.
    const good = await startTarget('good', answerFine);
    const runOrder = await startOrders([await createRefusing('dead'), good.target]);
    const outcomes = [await runOrder(NO_KEY), await runOrder(NO_KEY), await runOrder()];
    expect(outcomes.map(({ kind }) => kind)).toEqual(['done', 'done', 'done']);
    expect(good.getSeen().length).toEqual(3);
  });

  it('are sent once when a target breaks off after it has the order', async () => {
    // A stock server dies with a reservation in its hands. Whether the pair is taken cannot be
    // known; sent to the other server, two pairs might be.
    const first = await startTarget('first', resetConnection);
    const second = await startTarget('second', resetConnection);
    const runOrder = await startOrders([first.target, second.target]);
    expect((await runOrder(NO_KEY)).kind).toEqual('unknown');
    expect(first.getSeen().length + second.getSeen().length).toEqual(1);
  });

  it('answer a repeat "unknown" after a target broke off, and send nothing', async () => {
    // The same death, but the caller sent a key and repeats the order with it.
    const first = await startTarget('first', resetConnection);
    const runOrder = await startOrders([first.target]);
    expect((await runOrder()).kind).toEqual('unknown');
    expect((await runOrder()).kind).toEqual('unknown');
    expect(first.getSeen().length).toEqual(1);
  });

  it('are sent again when their method is idempotent', async () => {
    const bad = await startTarget('bad', resetConnection);
    const good = await startTarget('good', answerFine);
    const runOrder = await startOrders([bad.target, good.target]);
    const outcomes = [await runOrder({ method: 'GET' }), await runOrder({ method: 'GET' })];
    expect(outcomes.map(({ kind }) => kind)).toEqual(['done', 'done']);
    expect(good.getSeen().length).toEqual(2);
  });

  it('are sent again with their key to a service that checks it', async () => {
    const bad = await startTarget('bad', resetConnection);
    const good = await startTarget('good', answerFine);
    const runOrder = await startOrders([bad.target, good.target], { checksIdempotencyKey: true });
    const order = { headers: { 'idempotency-key': 'key-1' } };
    const outcomes = [await runOrder(order), await runOrder(order)];
    expect(outcomes.map(({ kind }) => kind)).toEqual(['done', 'done']);
    const keys = good.getSeen().map((request) => request.headers['idempotency-key']);
    expect(keys).toEqual(['key-1', 'key-1']);
  });

  it('end "unknown" when the service does not answer in time', async () => {
    // A stock server hangs. The caller must not wait for ever, and must not be told "not run".
    const quiet = await startTarget('quiet', stayQuiet);
    const runOrder = await startOrders([quiet.target], { timeoutMs: 500 });
    expect((await runOrder(NO_KEY)).kind).toEqual('unknown');
  });

  it('end "unknown" when the answer is over the bound', async () => {
    const long = await startTarget('long', (_request, response) => response.end('x'.repeat(100)));
    const runOrder = await startOrders([long.target], {}, { maxAnswerBytes: 99 });
    expect((await runOrder(NO_KEY)).kind).toEqual('unknown');
  });

  it('are not run when no target takes a connection', async () => {
    const runOrder = await startOrders([await createRefusing('a'), await createRefusing('b')]);
    const outcome = await runOrder(NO_KEY);
    expect(outcome.kind === 'notRun' && outcome.reason).toEqual('noTarget');
  });

  it('of one caller that are malformed leave the targets to the others', async () => {
    // A caller sends a header that cannot be sent on. Were it held against the targets, each of its
    // orders would have them passed over, and the other organisations would be told "no target".
    const good = await startTarget('good', answerFine);
    const runOrder = await startOrders([good.target]);
    expect((await runOrder({ ...NO_KEY, headers: { 'bad header': 'x' } })).kind).toEqual('notRun');
    expect((await runOrder(NO_KEY)).kind).toEqual('done');
  });

  it('do not go to a leaving VM', async () => {
    const leaving = await startTarget('leaving', answerFine, 'leaving');
    const runOrder = await startOrders([leaving.target]);
    expect((await runOrder(NO_KEY)).kind).toEqual('notRun');
    expect(leaving.getSeen().length).toEqual(0);
  });

  it('are turned away at once when the service is saturated', async () => {
    // A burst of a hundred reservations meets a stock server that takes two at once and hangs. The
    // callers must hear so now; queued, most would be sent when their callers have given up.
    const held: Http.ServerResponse[] = [];
    let tellHeld: () => void = () => undefined;
    const bothHeld = new Promise<void>((resolve) => {
      tellHeld = resolve;
    });
    const busy = await startTarget('busy', (_request, response) => {
      held.push(response);
      if (held.length === 2) tellHeld();
    });
    const runOrder = await startOrders(
      [busy.target],
      { timeoutMs: 60_000 },
      { maxInFlightPerTarget: 2 },
    );
    const runs = Array.from({ length: 100 }, async () => runOrder(NO_KEY));
    // The two that were sent are still open while all others are refused.
    const refused = await Promise.all(runs.slice(2));
    await bothHeld;
    held.forEach((response) => response.destroy());
    const sent = await Promise.all(runs.slice(0, 2));
    const reasons = refused.map((one) => (one.kind === 'notRun' ? one.reason : one.kind));
    expect(reasons.filter((reason) => reason === 'overloaded').length).toEqual(98);
    expect(sent.map(({ kind }) => kind)).toEqual(['unknown', 'unknown']);
    expect(busy.getSeen().length).toEqual(2);
  });

  it('add little load to a service that fails every order', async () => {
    // Every stock server resets every connection. Retried up to the limit, each read would load
    // them three times, and they would not come back.
    const targets = [
      await startTarget('a', resetConnection),
      await startTarget('b', resetConnection),
      await startTarget('c', resetConnection),
    ];
    const runOrder = await startOrders(targets.map(({ target }) => target));
    for (let sent = 0; sent < 100; sent += 1) await runOrder({ method: 'GET' });
    const sendings = targets.reduce((sum, { getSeen }) => sum + getSeen().length, 0);
    // The reserve of 10 and a tenth of the first sendings.
    expect(sendings <= 121).toEqual(true);
  });
});
