/** Where a caller wants to read on in the stream of a response. */
import type { CursorSigner } from './cursors';
import type { Exchange } from './exchange';
import type { FaultCode } from './faultCodes';
import * as Faults from './faults';
import type { Checked, Fault } from './faults';
import type { LiveResponse } from './liveResponse';

const NUMBER_PATTERN = /^(0|[1-9]\d{0,14})$/;

/** The next event to send; refuses places that no event of this response has. */
export function parseStart(
  exchange: Exchange,
  cursors: CursorSigner,
  live: LiveResponse,
): Checked<number> {
  if (!live.isStreamed) return refuseStart('not_streamed', 'This response was not streamed.');
  const startingAfter = exchange.query.get('starting_after');
  const lastEventId = exchange.request.headers['last-event-id'];
  if (startingAfter !== null) return parseStartingAfter(startingAfter, live);
  if (lastEventId === undefined) return checkStart(0, live);
  return parseLastEventId(String(lastEventId), cursors, live);
}

function parseStartingAfter(text: string, live: LiveResponse): Checked<number> {
  if (!NUMBER_PATTERN.test(text)) {
    return refuseStart('invalid_value', '"starting_after" must be a whole number from 0 up.');
  }
  return checkStart(Number(text) + 1, live);
}

/**
 * Guards against a cursor that was made up, or copied from another response or organisation. All
 * three look alike to the caller, so that nothing of one organisation shows to another.
 */
function parseLastEventId(
  text: string,
  cursors: CursorSigner,
  live: LiveResponse,
): Checked<number> {
  const cursor = cursors.verifyCursor(text);
  const isOfResponse =
    cursor?.requestId === live.identity.id && cursor.organisation === live.organisation;
  if (cursor === undefined || !isOfResponse) {
    const message = '"Last-Event-ID" is not an event id of this response.';
    return { kind: 'fault', fault: Faults.createInvalid('invalid_cursor', message) };
  }
  return checkStart(cursor.sequence + 1, live);
}

function checkStart(start: number, live: LiveResponse): Checked<number> {
  if (start > live.log.getNextSequence()) {
    return refuseStart('past_the_end', `Event ${start - 1} of this response does not exist yet.`);
  }
  if (start < live.log.getFirstSequence()) {
    return refuseStart('events_not_kept', `Event ${start} of this response is no longer kept.`);
  }
  return { kind: 'value', value: start };
}

function refuseStart(code: FaultCode, message: string): Checked<number> {
  const fault: Fault = Faults.createInvalid(code, message, 'starting_after');
  return { kind: 'fault', fault };
}
