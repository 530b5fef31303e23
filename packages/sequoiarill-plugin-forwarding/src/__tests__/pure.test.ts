import { describe, it } from 'node:test';

import type { ForwardingRoute } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Checks from '../answers/answerChecks';
import * as EventBlocks from '../streams/eventBlocks';
import * as Headers from '../front/headers';
import * as RouteTables from '../front/routeTable';
import * as StreamRelays from '../streams/streamRelay';
import { HEADER_NAMES } from './fakeDependencies';

function createRoute(name: string, host: string, pathPrefix: string): ForwardingRoute {
  return {
    name,
    host,
    pathPrefix,
    retryPolicy: 'once',
    isStream: false,
    hasPrompt: false,
    isPublic: false,
    timeoutMs: 1_000,
    objectiveMs: 100,
    maxGapMs: 100,
    priority: 0,
    maxTargets: 1,
    shares: [{ service: 'orders', weight: 1 }],
  };
}

describe('routes', () => {
  const table = RouteTables.createRouteTable({
    version: 1,
    routes: [
      createRoute('outer', 'shop.example', '/a/'),
      createRoute('inner', 'shop.example', '/a/b/'),
      createRoute('root', 'other.example', '/'),
    ],
    services: new Map(),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    organisations: [{ name: 'shop', apiKeys: ['k1', 'k2'] }],
  });

  it('takes the longest prefix of the host', () => {
    expect(table.findRoute('shop.example', '/a/b/c')?.name).toEqual('inner');
    expect(table.findRoute('Shop.Example:80', '/a/bc')?.name).toEqual('outer');
    expect(table.findRoute('other.example', '/a/b/c')?.name).toEqual('root');
    expect(table.findRoute('shop.example', '/ab/c')).toEqual(undefined);
    expect(table.findRoute('shop.example', '/')).toEqual(undefined);
    expect(table.findRoute('nobody.example', '/a/b')).toEqual(undefined);
  });

  it('finds the organisation of each of its keys', () => {
    expect(table.findOrganisation('k2')?.name).toEqual('shop');
    expect(table.findOrganisation('k3')).toEqual(undefined);
  });
});

describe('forwarded headers', () => {
  it('drops what concerns the connection and what is not the caller’s to say', () => {
    const passed = Headers.selectForwarded(
      [
        ['Host', 'shop.example'],
        ['Connection', 'keep-alive, Te'],
        ['TE', 'trailers'],
        ['Organisation', 'forged'],
        ['X-One', '1'],
      ],
      { reservedHeaders: new Set(['organisation']), essentialHeaders: new Set() },
    );
    expect(passed).toEqual([
      ['Host', 'shop.example'],
      ['X-One', '1'],
    ]);
  });

  it('keeps what tells the request, also where a caller names it as its connection’s own', () => {
    // Without its id or prompt size a request would run as another one.
    const headers = [
      ['Connection', 'id, size'],
      ['Id', 'r1'],
      ['Size', '10,5'],
    ] as const;
    expect(
      Headers.selectForwarded(headers, {
        reservedHeaders: new Set(),
        essentialHeaders: new Set(['id', 'size']),
      }),
    ).toEqual([
      ['Id', 'r1'],
      ['Size', '10,5'],
    ]);
  });

  it('takes no value from a header that stands there twice', () => {
    expect(
      Headers.findSingle(
        [
          ['key', 'k1'],
          ['Key', 'k2'],
        ],
        'key',
      ),
    ).toEqual(undefined);
  });
});

describe('checks of an answer', () => {
  function checkHead(status: number, headers: Readonly<Record<string, string>>) {
    const head = { status, statusMessage: '', headers };
    return Checks.checkHead(head, 'r1', HEADER_NAMES).kind;
  }

  it('takes only the signed answer to this very request', () => {
    expect(checkHead(200, { id: 'r1', signature: 's' })).toEqual('own');
    expect(checkHead(200, { id: 'r2', signature: 's' })).toEqual('spoiled');
    expect(checkHead(200, { signature: 's' })).toEqual('spoiled');
    expect(checkHead(200, { id: 'r1' })).toEqual('spoiled');
    expect(checkHead(200, { id: 'r1', signature: 's', 'content-encoding': 'gzip' })).toEqual(
      'spoiled',
    );
    expect(checkHead(500, { id: 'r1' })).toEqual('own');
  });

  it('takes a request for not run only where the target says so', () => {
    // A bare 503 after a run, passed on, would make a caller book again.
    expect(checkHead(503, { id: 'r1', 'not-run': '1' })).toEqual('notRun');
    expect(checkHead(421, {})).toEqual('notRun');
    expect(checkHead(503, { id: 'r1' })).toEqual('spoiled');
    expect(checkHead(503, { id: 'r2', 'not-run': '1' })).toEqual('spoiled');
  });

  it('knows answers that end with their connection', () => {
    const unframed = (status: number, headers: Readonly<Record<string, string>>) =>
      Checks.isCloseDelimited({ status, statusMessage: '', headers });
    expect(unframed(200, {})).toEqual(true);
    expect(unframed(200, { 'content-length': '3' })).toEqual(false);
    expect(unframed(200, { 'transfer-encoding': 'chunked' })).toEqual(false);
    expect(unframed(204, {})).toEqual(false);
  });
});

describe('event blocks', () => {
  it('gives events as they become whole, byte for byte', () => {
    const splitter = EventBlocks.createEventBlockSplitter();
    const text = 'id: 1\ndata: ä\n\nversion: 2\nid: 2\ndata: b\n\nid: 3\nda';
    const blocks: EventBlocks.EventBlock[] = [];
    for (const byte of Buffer.from(text)) {
      blocks.push(...(splitter.addBytes(Buffer.from([byte])) ?? []));
    }
    expect(blocks.map(({ id }) => id)).toEqual(['1', '2']);
    const passed = Buffer.concat(blocks.map(({ bytes }) => bytes)).toString();
    expect(passed).toEqual('id: 1\ndata: ä\n\nversion: 2\nid: 2\ndata: b\n\n');
    expect(splitter.hasRest()).toEqual(true);
  });

  it('gives up an event that has no end', () => {
    const splitter = EventBlocks.createEventBlockSplitter();
    expect(splitter.addBytes(Buffer.alloc(2_000_000, 'x'))).toEqual(undefined);
  });
});

describe('events of a continued stream', () => {
  function createBlock(id: string): EventBlocks.EventBlock {
    return { id, bytes: Buffer.from(`id: ${id}\n\n`) };
  }

  it('leaves out what the caller has, and sees a hole', () => {
    const blocks = ['4', '5', '6'].map(createBlock);
    const fresh = StreamRelays.selectFresh(blocks, '5');
    expect(fresh === 'gap' ? fresh : fresh.map(({ id }) => id)).toEqual(['6']);
    expect(StreamRelays.selectFresh(blocks, '2')).toEqual('gap');
    expect(StreamRelays.selectFresh([createBlock('1'), createBlock('3')], undefined)).toEqual(
      'gap',
    );
  });
});
