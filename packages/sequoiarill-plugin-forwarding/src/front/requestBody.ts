/** Reads the bodies of requests, within the budget of bytes that the process holds. */
import type { IncomingMessage } from 'node:http';

import * as Decisions from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';

import * as RelayHeaders from '../relay/relayHeaders';
import type { RelayRefusalCause } from '../relay/relayHeaders';
import type { HeldBudget } from './heldBudget';
import type { BodyControl, HeldExchange } from './heldExchange';
import * as Replies from './replies';
import type { Exchange, ExchangeDependencies, Refusal } from './replies';

export type BodyFailure =
  | 'callerLeft'
  | 'tooLarge'
  /** Refused because the budget is used up. */
  | 'noRoom'
  /** Cut off as the slowest while too many bytes were held. */
  | 'tooSlow';

const TOO_LARGE = 413;
const UNAVAILABLE = 503;
/** Bytes of callers that were cut off are free within a moment. */
const HELD_RETRY_SECONDS = 1;

export interface BodyOptions {
  readonly maxBytes: number | undefined;
  readonly budget: Pick<HeldBudget, 'isBodyRefused'>;
  readonly held: Pick<HeldExchange, 'addBodyBytes' | 'completeBody' | 'releaseBody'>;
}

/** Resolves to the complete body; after a failure, the rest of the body is read and dropped. */
export async function readBody(
  incoming: IncomingMessage,
  { maxBytes, budget, held }: BodyOptions,
): Promise<Buffer | BodyFailure> {
  const { socket } = incoming;
  const declaredBytes = parseLength(incoming);
  return new Promise((resolve) => {
    const buffer = Kernel.createBlockBuffer(declaredBytes);
    /** Memory that was added to the budget. */
    let heldBytes = 0;
    let isDone = false;

    function stopReading(result: Buffer | BodyFailure): void {
      if (isDone) return;
      isDone = true;
      incoming.off('data', handleData);
      if (typeof result === 'string') {
        buffer.clear();
        held.releaseBody();
        incoming.resume();
      } else held.completeBody();
      resolve(result);
    }

    const control: BodyControl = {
      isLarge: () => (declaredBytes ?? buffer.countBytes()) > Decisions.SMALL_BODY_BYTES,
      setPaused(isPaused) {
        if (isDone) return;
        if (isPaused) incoming.pause();
        else incoming.resume();
      },
      cut: () => stopReading('tooSlow'),
      countUnread: () => incoming.readableLength + socket.readableLength,
      countReceived: buffer.countBytes,
    };

    function handleData(chunk: Buffer): void {
      const wasSmall = buffer.countBytes() <= Decisions.SMALL_BODY_BYTES;
      const isFirst = buffer.countBytes() === 0;
      const bytes = buffer.countBytes() + chunk.length;
      if (maxBytes !== undefined && bytes > maxBytes) stopReading('tooLarge');
      else if (declaredBytes === undefined && wasSmall && budget.isBodyRefused(bytes)) {
        stopReading('noRoom');
      } else {
        buffer.addBytes(chunk);
        // A body that came in one piece is not waited for.
        if (incoming.complete && isFirst) return;
        held.addBodyBytes(buffer.countMemory() - heldBytes, control);
        heldBytes = buffer.countMemory();
      }
    }

    incoming.on('error', () => stopReading('callerLeft'));
    incoming.once('close', () => stopReading('callerLeft'));
    incoming.once('end', () => stopReading(buffer.merge()));
    if (budget.isBodyRefused(declaredBytes)) stopReading('noRoom');
    else incoming.on('data', handleData);
  });
}

/** Whether the body may be large, so that a refusal should not wait for it. */
export function hasLargeBody(incoming: IncomingMessage): boolean {
  const isChunked = incoming.headers['transfer-encoding'] !== undefined;
  return isChunked || (parseLength(incoming) ?? 0) > Decisions.SMALL_BODY_BYTES;
}

function parseLength({ headers }: IncomingMessage): number | undefined {
  const length = headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

const BODY_REFUSALS: Readonly<Record<Exclude<BodyFailure, 'callerLeft'>, Refusal>> = {
  tooLarge: { status: TOO_LARGE, reason: 'the body exceeds the size limit' },
  noRoom: {
    status: UNAVAILABLE,
    reason: 'too many bytes are held for slow callers and targets',
    retryAfterSeconds: HELD_RETRY_SECONDS,
  },
  tooSlow: {
    status: UNAVAILABLE,
    reason: 'too many bytes are held, and its body arrived too slowly',
    retryAfterSeconds: HELD_RETRY_SECONDS,
  },
};

export async function refuseBody(
  dependencies: ExchangeDependencies,
  exchange: Exchange,
  failure: Exclude<BodyFailure, 'callerLeft'>,
): Promise<void> {
  if (exchange.relayTerms !== undefined && failure !== 'tooLarge') {
    const cause: RelayRefusalCause = 'refused';
    exchange.response.setHeader(RelayHeaders.RELAY_HEADERS.refused, cause);
  }
  await refuseUnread(dependencies, exchange, BODY_REFUSALS[failure]);
}

/**
 * Refuses a request whose body is under way, so that the connection takes no other request.
 *
 * Failure: bytes that arrive after the connection was closed reset it, and a caller that sends its whole body before it
 * reads never gets the refusal. So the response ends after the body.
 */
export async function refuseUnread(
  dependencies: ExchangeDependencies,
  { incoming, response, headers }: Exchange,
  refusal: Refusal,
): Promise<void> {
  response.setHeader('connection', 'close');
  incoming.resume();
  Replies.sendRefusal(dependencies, response, headers, refusal, () => response.flushHeaders());
  await Kernel.waitForRest(incoming);
  response.end();
}
