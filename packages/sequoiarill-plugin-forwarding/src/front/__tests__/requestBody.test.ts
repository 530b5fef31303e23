import type { IncomingMessage } from 'node:http';
import { describe, it } from 'node:test';
import { setImmediate as waitTurn } from 'node:timers/promises';
import { PassThrough } from 'node:stream';

import { expect } from 'earl';

import type { BodyControl } from '../heldExchange';
import * as RequestBodies from '../requestBody';

/** A request with a body on the way, in a process whose budget of held bytes may be used up. */
function openBody(isFull: boolean, headers: Readonly<Record<string, string>> = {}) {
  const stream = new PassThrough();
  const incoming = Object.assign(stream, {
    headers,
    complete: false,
    socket: { readableLength: 0 },
  });
  const held = { bytes: 0, control: undefined as BodyControl | undefined };
  const reading = RequestBodies.readBody(incoming as unknown as IncomingMessage, {
    maxBytes: 200_000,
    budget: { isBodyRefused: (bytes) => isFull && bytes !== undefined && bytes > 65_536 },
    held: {
      addBodyBytes(bytes, control) {
        held.bytes += bytes;
        held.control = control;
      },
      completeBody: () => undefined,
      releaseBody() {
        held.bytes = 0;
      },
    },
  });
  return { stream, held, reading };
}

const PART = Buffer.alloc(50_000, 'x');

describe('the body of a request', () => {
  it('is refused while the budget is used up, by its declared length or what has come of it', async () => {
    const declared = openBody(true, { 'content-length': '70000' });
    expect(await declared.reading).toEqual('noRoom');
    const chunked = openBody(true);
    chunked.stream.write(PART);
    chunked.stream.write(PART);
    expect([await chunked.reading, chunked.held.bytes]).toEqual(['noRoom', 0]);
    const small = openBody(true, { 'content-length': '50000' });
    small.stream.end(PART);
    expect(await small.reading).toEqual(PART);
  });

  it('is read further after a pause, and what waits meanwhile counts', async () => {
    // Guards against a sender that stays paused, and against buffers that are not counted.
    const { stream, held, reading } = openBody(false);
    stream.write(PART.subarray(0, 10_000));
    await waitTurn();
    held.control?.setPaused(true);
    stream.write(PART.subarray(10_000, 20_000));
    await waitTurn();
    expect([held.bytes, held.control?.countUnread()]).toEqual([10_000, 10_000]);
    held.control?.setPaused(false);
    stream.end(PART.subarray(20_000));
    expect(await reading).toEqual(PART);
  });

  it('is dropped where its sender is cut off', async () => {
    const { stream, held, reading } = openBody(false);
    stream.write(PART);
    await waitTurn();
    held.control?.cut();
    stream.end(PART);
    expect([await reading, held.bytes]).toEqual(['tooSlow', 0]);
  });
});
