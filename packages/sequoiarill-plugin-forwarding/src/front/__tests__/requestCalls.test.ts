import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { AnswerHead } from '../../forwardRequest';
import type { TargetCall } from '../../targets/targetCall';
import * as RequestCalls from '../requestCalls';

const REFUSAL: AnswerHead = { status: 503, statusMessage: '', headers: {} };

describe('the calls of a request', () => {
  /** Opens a call to a target; returns what is known of it, and how to change it. */
  function openCall(calls: RequestCalls.RequestCalls, target: string) {
    const state = { isOpened: false, wasSent: false, isCancelled: false };
    let recordHead: (head: AnswerHead) => void = () => undefined;
    const call: TargetCall = {
      readEvent: async () => ({ kind: 'end' }),
      wasSent: () => state.wasSent,
      cancel() {
        state.isCancelled = true;
      },
      drain: () => undefined,
      recordExcess: () => undefined,
    };
    const terms = {
      place: { stage: 'target', target },
      isNotRun: (head: AnswerHead) => head === REFUSAL,
    } as const;
    const opened = calls.open(terms, (record) => {
      state.isOpened = true;
      recordHead = record;
      return call;
    });
    return { state, opened, refuse: () => recordHead(REFUSAL) };
  }

  it('may have run it once it was sent, unless the target says that it did not', () => {
    // Guards against a 503, which promises that nothing ran, for a request that is at a target.
    const calls = RequestCalls.createRequestCalls();
    const first = openCall(calls, 'a');
    expect([calls.mayHaveRun(), calls.findPlace()?.target]).toEqual([false, 'a']);
    first.state.wasSent = true;
    expect(calls.mayHaveRun()).toEqual(true);
    first.refuse();
    expect(calls.mayHaveRun()).toEqual(false);
    const second = openCall(calls, 'b');
    second.state.wasSent = true;
    openCall(calls, 'c');
    expect([calls.mayHaveRun(), calls.findPlace()?.target]).toEqual([true, 'b']);
  });

  it('send nothing more once they are closed', async () => {
    // Guards against a target that gets a request whose caller was told that it will never run.
    const calls = RequestCalls.createRequestCalls();
    const sent = openCall(calls, 'a');
    sent.state.wasSent = true;
    const connecting = openCall(calls, 'b');
    calls.close();
    expect([sent.state.isCancelled, connecting.state.isCancelled]).toEqual([false, true]);
    const later = openCall(calls, 'c');
    expect([later.state.isOpened, later.opened.wasSent()]).toEqual([false, false]);
    expect(await later.opened.readEvent(0)).toEqual({ kind: 'cancelled' });
  });
});
