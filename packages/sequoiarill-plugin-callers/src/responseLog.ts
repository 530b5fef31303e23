/**
 * The events of one response, kept in memory so that several readers can follow and resume them.
 * Event numbers rise by one from 0 and never change.
 */
import * as Notices from './notices';

/** Follows the log from one event on, at the pace of its caller. */
export interface LogReader {
  /** Next events in one piece; empty when there is none yet. */
  readonly takeEvents: () => string;
  readonly hasEnded: () => boolean;
  /** Resolves when events were added or the log was closed. */
  readonly waitForMore: () => Promise<void>;
  readonly close: () => void;
}

export interface ResponseLog {
  readonly addEvent: (event: string) => void;
  /** No event comes after this. */
  readonly close: () => void;
  readonly isClosed: () => boolean;
  readonly openReader: (fromSequence: number) => LogReader;
  readonly getReaderCount: () => number;
  /** Number the next event will get. */
  readonly getNextSequence: () => number;
  /** Oldest event still kept. */
  readonly getFirstSequence: () => number;
  readonly getBytes: () => number;
  /** Bytes that the slowest reader has still to take; everything kept if there is no reader. */
  readonly getBacklogBytes: () => number;
  /** Drops the oldest events that every reader has taken; none while there is no reader. */
  readonly removeTaken: (keepBytes: number) => void;
  /** Resolves when a reader took events, came or left. */
  readonly waitForReaders: () => Promise<void>;
  /** Wakes whoever waits, so that it looks at its own reasons to stop. */
  readonly wakeWaiting: () => void;
}

interface Place {
  sequence: number;
  /** Bytes of the whole log before `sequence`. */
  offset: number;
}

/** One write of a reader that catches up; keeps a long replay from being copied in one piece. */
const MAX_TAKE_BYTES = 65_536;

/** `recordBytes` is told each change of the bytes kept. */
export function createResponseLog(recordBytes: (change: number) => void): ResponseLog {
  const added = Notices.createNotice();
  const taken = Notices.createNotice();
  const places = new Set<Place>();
  let events: string[] = [];
  let first: Place = { sequence: 0, offset: 0 };
  let endOffset = 0;
  let isClosed = false;

  function getNextSequence(): number {
    return first.sequence + events.length;
  }

  function getSlowest(): Place {
    let slowest: Place | undefined;
    for (const place of places) {
      if (slowest === undefined || place.sequence < slowest.sequence) slowest = place;
    }
    return slowest ?? first;
  }

  function createReader(start: Readonly<Place>): LogReader {
    const place: Place = { ...start };
    places.add(place);
    taken.sendNotice();
    return {
      takeEvents() {
        let text = '';
        while (place.sequence < getNextSequence() && text.length < MAX_TAKE_BYTES) {
          const event = events[place.sequence - first.sequence] ?? '';
          text += event;
          place.sequence += 1;
          place.offset += Buffer.byteLength(event);
        }
        if (text !== '') taken.sendNotice();
        return text;
      },
      hasEnded: () => isClosed && place.sequence === getNextSequence(),
      waitForMore: added.waitNotice,
      close() {
        places.delete(place);
        taken.sendNotice();
      },
    };
  }

  return {
    addEvent(event) {
      events.push(event);
      const bytes = Buffer.byteLength(event);
      endOffset += bytes;
      recordBytes(bytes);
      added.sendNotice();
    },
    close() {
      isClosed = true;
      added.sendNotice();
    },
    isClosed: () => isClosed,
    openReader(fromSequence) {
      const skipped = events.slice(0, fromSequence - first.sequence);
      const bytes = skipped.reduce((sum, event) => sum + Buffer.byteLength(event), 0);
      return createReader({ sequence: fromSequence, offset: first.offset + bytes });
    },
    getReaderCount: () => places.size,
    getNextSequence,
    getFirstSequence: () => first.sequence,
    getBytes: () => endOffset - first.offset,
    getBacklogBytes: () => endOffset - getSlowest().offset,
    removeTaken(keepBytes) {
      const end = getSlowest();
      let { sequence, offset } = first;
      while (sequence < end.sequence && endOffset - offset > keepBytes) {
        offset += Buffer.byteLength(events[sequence - first.sequence] ?? '');
        sequence += 1;
      }
      events = events.slice(sequence - first.sequence);
      recordBytes(first.offset - offset);
      first = { sequence, offset };
    },
    waitForReaders: taken.waitNotice,
    wakeWaiting() {
      added.sendNotice();
      taken.sendNotice();
    },
  };
}
