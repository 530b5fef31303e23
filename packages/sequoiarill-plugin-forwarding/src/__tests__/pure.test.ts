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

describe('route table', () => {
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

  it('finds the route with the longest matching prefix of the host', () => {
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
  it('omit hop-by-hop headers and headers that callers must not set', () => {
    const passed = Headers.selectRequestHeaders(
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

  it('include essential headers even when a caller lists them in its connection header', () => {
    // Guards against a request that loses its id or prompt size and runs as a different request.
    const headers = [
      ['Connection', 'id, size'],
      ['Id', 'r1'],
      ['Size', '10,5'],
    ] as const;
    expect(
      Headers.selectRequestHeaders(headers, {
        reservedHeaders: new Set(),
        essentialHeaders: new Set(['id', 'size']),
      }),
    ).toEqual([
      ['Id', 'r1'],
      ['Size', '10,5'],
    ]);
  });

  it('have no value for a header that occurs twice', () => {
    expect(
      Headers.findSingleValue(
        [
          ['key', 'k1'],
          ['Key', 'k2'],
        ],
        'key',
      ),
    ).toEqual(undefined);
  });
});

describe('answer checks', () => {
  function checkHead(status: number, headers: Readonly<Record<string, string>>) {
    const head = { status, statusMessage: '', headers };
    return Checks.checkHead(head, 'r1', HEADER_NAMES).kind;
  }

  it('accept only the signed answer to the same request', () => {
    expect(checkHead(200, { id: 'r1', signature: 's' })).toEqual('valid');
    expect(checkHead(200, { id: 'r2', signature: 's' })).toEqual('invalid');
    expect(checkHead(200, { signature: 's' })).toEqual('invalid');
    expect(checkHead(200, { id: 'r1' })).toEqual('invalid');
    expect(checkHead(200, { id: 'r1', signature: 's', 'content-encoding': 'gzip' })).toEqual(
      'invalid',
    );
    expect(checkHead(500, { id: 'r1' })).toEqual('valid');
  });

  it('report a request as not run only when the target states it', () => {
    // Guards against forwarding the 503 of a request that did run: its caller would send it again.
    expect(checkHead(503, { id: 'r1', 'not-run': '1' })).toEqual('notRun');
    expect(checkHead(421, {})).toEqual('notRun');
    expect(checkHead(503, { id: 'r1' })).toEqual('invalid');
    expect(checkHead(503, { id: 'r2', 'not-run': '1' })).toEqual('invalid');
  });

  it('recognise answers that are delimited by the close of the connection', () => {
    const isCloseDelimited = (status: number, headers: Readonly<Record<string, string>>) =>
      Checks.isCloseDelimited({ status, statusMessage: '', headers });
    expect(isCloseDelimited(200, {})).toEqual(true);
    expect(isCloseDelimited(200, { 'content-length': '3' })).toEqual(false);
    expect(isCloseDelimited(200, { 'transfer-encoding': 'chunked' })).toEqual(false);
    expect(isCloseDelimited(204, {})).toEqual(false);
  });
});

describe('event block splitter', () => {
  it('returns events as they become complete, byte for byte', () => {
    const splitter = EventBlocks.createEventBlockSplitter();
    const text = 'id: 1\ndata: ä\n\nversion: 2\nid: 2\ndata: b\n\nid: 3\nda';
    const blocks: EventBlocks.EventBlock[] = [];
    for (const byte of Buffer.from(text)) {
      blocks.push(...(splitter.addBytes(Buffer.from([byte])) ?? []));
    }
    expect(blocks.map(({ id }) => id)).toEqual(['1', '2']);
    const passed = Buffer.concat(blocks.map(({ bytes }) => bytes)).toString();
    expect(passed).toEqual('id: 1\ndata: ä\n\nversion: 2\nid: 2\ndata: b\n\n');
    expect(splitter.hasPartialEvent()).toEqual(true);
  });

  it('rejects an event that exceeds the size limit without an end', () => {
    const splitter = EventBlocks.createEventBlockSplitter();
    expect(splitter.addBytes(Buffer.alloc(2_000_000, 'x'))).toEqual(undefined);
  });
});

describe('events of a continued stream', () => {
  function createBlock(id: string): EventBlocks.EventBlock {
    return { id, bytes: Buffer.from(`id: ${id}\n\n`) };
  }

  it('exclude events that the caller has received, and reveal a gap', () => {
    const blocks = ['4', '5', '6'].map(createBlock);
    const fresh = StreamRelays.selectNewBlocks(blocks, '5');
    expect(fresh === 'gap' ? fresh : fresh.map(({ id }) => id)).toEqual(['6']);
    expect(StreamRelays.selectNewBlocks(blocks, '2')).toEqual('gap');
    expect(StreamRelays.selectNewBlocks([createBlock('1'), createBlock('3')], undefined)).toEqual(
      'gap',
    );
  });
});
