/** Determines the event from which a caller resumes the stream of a response. */
import type { CursorSigner } from './cursors';
import type { Exchange } from './exchange';
import type { FaultCode } from './faultCodes';
import * as Faults from './faults';
import type { ValidationResult, Fault } from './faults';
import type { LiveResponse } from './liveResponse';

const SEQUENCE_PATTERN = /^(0|[1-9]\d{0,14})$/;

/** Returns the next event to send; refuses positions outside the retained events. */
export function parseResumePosition(
  exchange: Exchange,
  cursors: CursorSigner,
  live: LiveResponse,
): ValidationResult<number> {
  if (!live.isStreamed) return refusePosition('not_streamed', 'This response was not streamed.');
  const startingAfter = exchange.query.get('starting_after');
  const lastEventId = exchange.request.headers['last-event-id'];
  if (startingAfter !== null) return parseStartingAfter(startingAfter, live);
  if (lastEventId === undefined) return checkPosition(0, live);
  return parseLastEventId(String(lastEventId), cursors, live);
}

function parseStartingAfter(text: string, live: LiveResponse): ValidationResult<number> {
  if (!SEQUENCE_PATTERN.test(text)) {
    return refusePosition('invalid_value', '"starting_after" must be a whole number from 0 up.');
  }
  return checkPosition(Number(text) + 1, live);
}

/**
 * Refuses a cursor that is forged or belongs to another response or organisation. The caller gets
 * the same error in all three cases, so that nothing is disclosed across organisations.
 */
function parseLastEventId(
  text: string,
  cursors: CursorSigner,
  live: LiveResponse,
): ValidationResult<number> {
  const cursor = cursors.verifyCursor(text);
  const isOfResponse =
    cursor?.requestId === live.identity.id && cursor.organisation === live.organisation;
  if (cursor === undefined || !isOfResponse) {
    const message = '"Last-Event-ID" is not an event id of this response.';
    return { kind: 'fault', fault: Faults.createBadRequest('invalid_cursor', message) };
  }
  return checkPosition(cursor.sequence + 1, live);
}

function checkPosition(start: number, live: LiveResponse): ValidationResult<number> {
  if (start > live.log.getNextSequence()) {
    return refusePosition(
      'past_the_end',
      `Event ${start - 1} of this response does not exist yet.`,
    );
  }
  if (start < live.log.getFirstSequence()) {
    return refusePosition('events_not_kept', `Event ${start} of this response is no longer kept.`);
  }
  return { kind: 'value', value: start };
}

function refusePosition(code: FaultCode, message: string): ValidationResult<number> {
  const fault: Fault = Faults.createBadRequest(code, message, 'starting_after');
  return { kind: 'fault', fault };
}
