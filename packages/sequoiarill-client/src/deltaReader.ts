/** Reads the text deltas that arrive over one connection. */
import * as Connections from './connection';
import * as Outcomes from './outcomes';
import type { ResponseOutcome } from './outcomes';
import type { Position, Progress } from './progress';
import * as StreamEvents from './streamEvents';
import type { StreamEvent } from './streamEvents';

/** A piece of text that has not been yielded before. */
export interface TextDelta {
  readonly text: string;
  /** Sequence number of the event; strictly increasing. */
  readonly sequenceNumber: number;
}

export interface ReadResult {
  readonly outcome: ResponseOutcome | undefined;
  /** Why reading ended, if `outcome` is undefined. */
  readonly failureReason: string;
}

const DELTA_TYPE = 'response.output_text.delta';
const ERROR_TYPE = 'error';
const END_TYPES: readonly string[] = [
  'response.completed',
  'response.incomplete',
  'response.failed',
];

/**
 * Yields text until the response or the connection ends.
 *
 * Sequence numbers protect the text against duplicates and gaps: a router that resumes too early
 * repeats deltas, and one that resumes too late, or that dropped events for a slow reader, omits
 * some. Events that were already read are skipped. A gap ends the connection, so that the client
 * resumes from its current position.
 */
export async function* readDeltas(
  bytes: AsyncIterable<Uint8Array>,
  progress: Progress,
): AsyncGenerator<TextDelta, ReadResult, void> {
  try {
    for await (const event of StreamEvents.readEvents(bytes)) {
      const position = progress.getPosition();
      const { sequenceNumber } = event;
      const nextNumber = position.sequenceNumber + 1;
      if (sequenceNumber > nextNumber) return buildInterrupted(`event ${nextNumber} is missing`);
      if (sequenceNumber === nextNumber) {
        progress.setPosition(getNextPosition(position, event));
        if (event.type === DELTA_TYPE) yield { text: event.delta ?? '', sequenceNumber };
        const outcome = findOutcome(event);
        if (outcome !== undefined) return { outcome, failureReason: '' };
      }
    }
  } catch (error) {
    return buildInterrupted(Connections.formatCause(error));
  }
  return buildInterrupted('the stream ended before the response did');
}

function buildInterrupted(failureReason: string): ReadResult {
  return { outcome: undefined, failureReason };
}

function getNextPosition(position: Position, event: StreamEvent): Position {
  return {
    responseId: position.responseId ?? event.response?.id,
    sequenceNumber: event.sequenceNumber,
    eventId: event.eventId ?? position.eventId,
  };
}

function findOutcome(event: StreamEvent): ResponseOutcome | undefined {
  if (END_TYPES.includes(event.type) && event.response !== undefined) {
    return Outcomes.buildOutcome(event.response);
  }
  if (event.type !== ERROR_TYPE) return undefined;
  const message = event.message ?? 'The server reported an error and gave no reason.';
  return { kind: 'lost', message, retryAfterSeconds: undefined };
}
