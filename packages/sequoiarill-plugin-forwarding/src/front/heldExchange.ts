/** What one exchange holds in the budget of bytes: its body, and its answer on the way to the caller. */
import type { ServerResponse } from 'node:http';

import * as Decisions from '@sequoiarill/decisions';

import type { HeldBudget, HeldEntry, Holder } from './heldBudget';

/** How a body that is being read is paused and cut off. */
export interface BodyControl {
  /** Whether the body is not one of the small ones, which are taken even when the budget is used up. */
  readonly isLarge: () => boolean;
  readonly setPaused: (isPaused: boolean) => void;
  readonly cut: () => void;
  /** Bytes that were received and are not yet passed to `addBodyBytes`, as while it is paused. */
  readonly countUnread: () => number;
  /** Bytes of the body that were received. */
  readonly countReceived: () => number;
}

export interface HeldExchange {
  /** Adds memory that the body takes, which is being read under the given control; 0 where only its bytes have grown. */
  readonly addBodyBytes: (bytes: number, control: BodyControl) => void;
  readonly completeBody: () => void;
  /** The body is sent. A large one counts until the request ends: it is kept for its target, and for another send. */
  readonly recordBodySent: () => void;
  /** The body is dropped. */
  readonly releaseBody: () => void;
  /** Adds bytes of an answer that were read and not yet written to the caller; negative to release them. */
  readonly addAnswerBytes: (bytes: number) => void;
  /** Adds bytes of an answer that is held until it is whole; negative to release them. */
  readonly addWholeBytes: (bytes: number) => void;
  readonly releaseWhole: () => void;
  /** Whether more may be read from a target than the caller has asked for. */
  readonly mayReadAhead: () => boolean;
  /** Whether an answer or event of which so much has arrived may be held on until it is whole. */
  readonly mayHoldWhole: (bytes: number) => boolean;
}

/** The exchange is registered with its first bytes and released when the response closes. */
export function createHeldExchange(
  budget: Pick<HeldBudget, 'register' | 'mayReadAhead' | 'mayHoldWhole'>,
  response: ServerResponse,
  requestId: string | undefined,
): HeldExchange {
  let entry: HeldEntry | undefined;
  let isClosed = false;
  let bodyControl: BodyControl | undefined;
  let bodyBytes = 0;
  let isBodySent = false;
  let answerBytes = 0;
  let wholeBytes = 0;

  const holder: Holder = {
    requestId,
    getKind: () => (bodyControl === undefined ? 'reader' : 'sender'),
    countBytes: () =>
      bodyBytes +
      (bodyControl?.countUnread() ?? 0) +
      answerBytes +
      wholeBytes +
      response.writableLength,
    countSentBytes: () => (isBodySent ? bodyBytes : 0),
    countWholeBytes: () => wholeBytes,
    countProgress: () => bodyControl?.countReceived() ?? countTaken(response),
    isCallerDue: () => bodyControl !== undefined || response.writableLength > 0,
    mayPause: () => bodyControl?.isLarge() === true,
    setPaused: (isPaused) => bodyControl?.setPaused(isPaused),
    cut() {
      // Unlike an orderly end, a reset completes no answer, also without a length or chunks.
      if (bodyControl === undefined) response.req.socket.resetAndDestroy();
      else bodyControl.cut();
    },
  };

  function updateEntry(): void {
    if (isClosed) return;
    entry ??= budget.register(holder);
    entry.update();
  }

  function addWholeBytes(bytes: number): void {
    wholeBytes += bytes;
    updateEntry();
  }

  function releaseBody(): void {
    if (bodyBytes === 0) return;
    bodyBytes = 0;
    bodyControl = undefined;
    updateEntry();
  }

  response.once('close', () => {
    isClosed = true;
    entry?.release();
  });

  return {
    addBodyBytes(bytes, control) {
      bodyControl = control;
      bodyBytes += bytes;
      updateEntry();
    },
    completeBody() {
      bodyControl = undefined;
    },
    recordBodySent() {
      if (isBodySent) return;
      if (bodyBytes <= Decisions.SMALL_BODY_BYTES) releaseBody();
      else {
        isBodySent = true;
        updateEntry();
      }
    },
    releaseBody,
    addAnswerBytes(bytes) {
      answerBytes += bytes;
      updateEntry();
    },
    addWholeBytes,
    releaseWhole: () => addWholeBytes(-wholeBytes),
    mayReadAhead: budget.mayReadAhead,
    mayHoldWhole: budget.mayHoldWhole,
  };
}

/** Bytes of the connection that the kernel has taken. */
function countTaken({ socket }: ServerResponse): number {
  return socket === null ? 0 : socket.bytesWritten - socket.writableLength;
}
