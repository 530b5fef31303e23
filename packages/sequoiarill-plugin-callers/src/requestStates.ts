/** What the open requests wait for, for the state dump. */

/**
 * `waiting`: for its answer or first token. `sending`: for the next token. `blocked`: for the caller
 * to read.
 */
export type RequestState = 'waiting' | 'sending' | 'blocked';

export interface RequestEntry {
  readonly setState: (state: RequestState) => void;
  readonly close: () => void;
}

export interface RequestStates {
  readonly openEntry: () => RequestEntry;
  readonly getCounts: () => Readonly<Record<RequestState, number>>;
}

export function createRequestStates(): RequestStates {
  const counts: Record<RequestState, number> = { waiting: 0, sending: 0, blocked: 0 };
  return {
    openEntry() {
      let current: RequestState = 'waiting';
      counts[current] += 1;
      return {
        setState(state) {
          counts[current] -= 1;
          counts[state] += 1;
          current = state;
        },
        close() {
          counts[current] -= 1;
        },
      };
    },
    getCounts: () => ({ ...counts }),
  };
}
