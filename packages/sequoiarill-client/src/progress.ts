/** The read position in a response, shared by all connections used to read it. */

export interface Position {
  readonly responseId: string | undefined;
  readonly sequenceNumber: number;
  /** The last SSE `id:` received. */
  readonly eventId: string | undefined;
}

/** The position before the first event, whose sequence number is 0. */
const START_POSITION: Position = { responseId: undefined, sequenceNumber: -1, eventId: undefined };

export interface Progress {
  readonly getPosition: () => Position;
  readonly setPosition: (position: Position) => void;
}

export function createProgress(): Progress {
  let current = START_POSITION;
  return {
    getPosition: () => current,
    setPosition(position) {
      current = position;
    },
  };
}
