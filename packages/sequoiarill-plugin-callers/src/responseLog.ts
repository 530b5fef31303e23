/**
 * In-memory log of the events of one response; several readers can follow and resume it. Events
 * are numbered consecutively from 0, and their numbers never change.
 */
import * as Notifiers from './notifier';

/** Reads the log from a given event on, at the pace of the caller that it serves. */
export interface LogReader {
  /** Returns the next events concatenated; empty if there are none yet. */
  readonly readNextEvents: () => string;
  readonly hasEnded: () => boolean;
  /** Resolves when events are added or the log is closed. */
  readonly waitForMore: () => Promise<void>;
  readonly close: () => void;
}

export interface ResponseLog {
  readonly addEvent: (event: string) => void;
  /** Marks the log as complete; no event follows. */
  readonly close: () => void;
  readonly isClosed: () => boolean;
  readonly openReader: (fromSequence: number) => LogReader;
  readonly getReaderCount: () => number;
  /** Sequence number of the next event to be added. */
  readonly getNextSequence: () => number;
  /** Sequence number of the oldest event still retained. */
  readonly getFirstSequence: () => number;
  readonly getBytes: () => number;
  /** Bytes that the slowest reader has not read; all retained bytes if there is no reader. */
  readonly getBacklogBytes: () => number;
  /**
   * Drops the oldest events that every reader has read, until `keepBytes` remain; drops none while
   * there is no reader.
   */
  readonly removeReadEvents: (keepBytes: number) => void;
  /** Resolves when a reader reads events, opens or closes. */
  readonly waitForReaders: () => Promise<void>;
  /** Wakes all waiting tasks so that they check their own stop conditions. */
  readonly resumeWaiters: () => void;
}

interface LogPosition {
  sequence: number;
  /** Bytes of all events before `sequence`, including dropped ones. */
  offset: number;
}

/** Limits one read of a reader that catches up, so that a long replay is not copied at once. */
const MAX_READ_BYTES = 65_536;

/** `recordSizeChange` receives each change of the retained bytes. */
export function createResponseLog(recordSizeChange: (change: number) => void): ResponseLog {
  const eventsAdded = Notifiers.createNotifier();
  const readersChanged = Notifiers.createNotifier();
  const readerPositions = new Set<LogPosition>();
  let events: string[] = [];
  let firstKept: LogPosition = { sequence: 0, offset: 0 };
  let endOffset = 0;
  let isClosed = false;

  function getNextSequence(): number {
    return firstKept.sequence + events.length;
  }

  function getSlowestPosition(): LogPosition {
    let slowest: LogPosition | undefined;
    for (const position of readerPositions) {
      if (slowest === undefined || position.sequence < slowest.sequence) slowest = position;
    }
    return slowest ?? firstKept;
  }

  function createReader(start: Readonly<LogPosition>): LogReader {
    const position: LogPosition = { ...start };
    readerPositions.add(position);
    readersChanged.sendNotification();
    return {
      readNextEvents() {
        let text = '';
        while (position.sequence < getNextSequence() && text.length < MAX_READ_BYTES) {
          const event = events[position.sequence - firstKept.sequence] ?? '';
          text += event;
          position.sequence += 1;
          position.offset += Buffer.byteLength(event);
        }
        if (text !== '') readersChanged.sendNotification();
        return text;
      },
      hasEnded: () => isClosed && position.sequence === getNextSequence(),
      waitForMore: eventsAdded.waitForNotification,
      close() {
        readerPositions.delete(position);
        readersChanged.sendNotification();
      },
    };
  }

  return {
    addEvent(event) {
      events.push(event);
      const bytes = Buffer.byteLength(event);
      endOffset += bytes;
      recordSizeChange(bytes);
      eventsAdded.sendNotification();
    },
    close() {
      isClosed = true;
      eventsAdded.sendNotification();
    },
    isClosed: () => isClosed,
    openReader(fromSequence) {
      const skipped = events.slice(0, fromSequence - firstKept.sequence);
      const bytes = skipped.reduce((sum, event) => sum + Buffer.byteLength(event), 0);
      return createReader({ sequence: fromSequence, offset: firstKept.offset + bytes });
    },
    getReaderCount: () => readerPositions.size,
    getNextSequence,
    getFirstSequence: () => firstKept.sequence,
    getBytes: () => endOffset - firstKept.offset,
    getBacklogBytes: () => endOffset - getSlowestPosition().offset,
    removeReadEvents(keepBytes) {
      const end = getSlowestPosition();
      let { sequence, offset } = firstKept;
      while (sequence < end.sequence && endOffset - offset > keepBytes) {
        offset += Buffer.byteLength(events[sequence - firstKept.sequence] ?? '');
        sequence += 1;
      }
      events = events.slice(sequence - firstKept.sequence);
      recordSizeChange(firstKept.offset - offset);
      firstKept = { sequence, offset };
    },
    waitForReaders: readersChanged.waitForNotification,
    resumeWaiters() {
      eventsAdded.sendNotification();
      readersChanged.sendNotification();
    },
  };
}
