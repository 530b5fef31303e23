/** How far a response was read, kept over all connections that it takes. */

export interface Position {
  readonly responseId: string | undefined;
  readonly sequenceNumber: number;
  /** The SSE `id:` seen last. */
  readonly eventId: string | undefined;
}

/** Before the first event, which has the number 0. */
const START: Position = { responseId: undefined, sequenceNumber: -1, eventId: undefined };

export interface Progress {
  readonly getPosition: () => Position;
  readonly setPosition: (position: Position) => void;
}

export function createProgress(): Progress {
  let current = START;
  return {
    getPosition: () => current,
    setPosition(position) {
      current = position;
    },
  };
}
