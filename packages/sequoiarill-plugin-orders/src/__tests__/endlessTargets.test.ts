import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { OrderRequest } from '@sequoiarill/types';
import { expect } from 'earl';

import * as OrderSenders from '../orderSender';

/** Longer than any other answer takes to be cut. */
const DEADLINE_MS = 20_000;
const SHORT_DEADLINE_MS = 500;
const MAX_ANSWER_BYTES = 1_048_576;
const MAX_BYTES = 64 * 1_048_576;
const ORDER = { method: 'POST', path: '/', headers: {}, requestId: 'r1', body: Buffer.from('a') };
/** Ends by the deadline of the order only: an extension of a chunk takes no memory. */
const UNTIL_DEADLINE: readonly string[] = ['chunkExtension'];

describe('a target that sends without end', () => {
  for (const [name, answer] of Object.entries(Kernel.ENDLESS_ANSWERS)) {
    it(`leaves its order without an answer, and its connection is closed (${name})`, async () => {
      // Guards against orders that wait until their deadline for bytes that are no answer, or take the memory.
      const server = await Kernel.startEndlessServer({ answer, maxBytes: MAX_BYTES });
      const sender = OrderSenders.createOrderSender({
        connectTimeoutMs: DEADLINE_MS,
        maxAnswerBytes: MAX_ANSWER_BYTES,
        maxInFlightPerTarget: 2,
      });
      const isCut = !UNTIL_DEADLINE.includes(name);
      const signal = AbortSignal.timeout(isCut ? DEADLINE_MS : SHORT_DEADLINE_MS);
      const order = ORDER as unknown as OrderRequest;
      const result = await sender.sendOrder(server.address, order, signal);
      const isBeforeDeadline = !signal.aborted;
      await server.waitUntilClosed();
      const bytes = server.getLargestBytes();
      await sender.close();
      await server.stop();
      expect(result.kind).toEqual('unanswered');
      expect(!isCut || (isBeforeDeadline && bytes < MAX_BYTES)).toEqual(true);
    });
  }
});
