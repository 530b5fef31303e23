/** Reads one connection's share of a response. */
import * as Connections from './connection';
import * as Outcomes from './outcomes';
import type { ResponseOutcome } from './outcomes';
import type { Position, Progress } from './progress';
import * as StreamEvents from './streamEvents';
import type { StreamEvent } from './streamEvents';

/** Text that was never yielded before. */
export interface TextDelta {
  readonly text: string;
  /** Number of its event; they only rise. */
  readonly sequenceNumber: number;
}

export interface ReadResult {
  readonly outcome: ResponseOutcome | undefined;
  /** Why the connection ended, where there is no outcome. */
  readonly problem: string;
}

const DELTA = 'response.output_text.delta';
const ERROR = 'error';
const END_TYPES: readonly string[] = [
  'response.completed',
  'response.incomplete',
  'response.failed',
];

/**
 * Yields text until the response or the connection ends.
 *
 * Event numbers guard the text: a router that resumes from too early would repeat a delta, and one
 * that resumes from too late, or that dropped events of a slow reader, would leave one out. A number
 * that was seen is skipped, and one that leaves a gap ends the connection, so that the reader asks
 * again from where it is.
 */
export async function* readDeltas(
  bytes: AsyncIterable<Uint8Array>,
  progress: Progress,
): AsyncGenerator<TextDelta, ReadResult, void> {
  try {
    for await (const event of StreamEvents.readEvents(bytes)) {
      const position = progress.getPosition();
      const { sequenceNumber } = event;
      const expected = position.sequenceNumber + 1;
      if (sequenceNumber > expected) return buildBroken(`event ${expected} is missing`);
      if (sequenceNumber === expected) {
        progress.setPosition(getNextPosition(position, event));
        if (event.type === DELTA) yield { text: event.delta ?? '', sequenceNumber };
        const outcome = findOutcome(event);
        if (outcome !== undefined) return { outcome, problem: '' };
      }
    }
  } catch (error) {
    return buildBroken(Connections.formatCause(error));
  }
  return buildBroken('the stream ended before the response did');
}

function buildBroken(problem: string): ReadResult {
  return { outcome: undefined, problem };
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
  if (event.type !== ERROR) return undefined;
  const message = event.message ?? 'The server reported an error without a reason.';
  return { kind: 'lost', message, retryAfterSeconds: undefined };
}
