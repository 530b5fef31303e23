/** Counts open requests by what they are waiting for, for the state dump. */

/**
 * `waiting`: waits for the answer or the first token. `sending`: waits for the next token.
 * `blocked`: waits for the caller to read.
 */
export type RequestState = 'waiting' | 'sending' | 'blocked';

export interface TrackedRequest {
  readonly setState: (state: RequestState) => void;
  readonly close: () => void;
}

export interface RequestStateTracker {
  readonly addRequest: () => TrackedRequest;
  readonly getCounts: () => Readonly<Record<RequestState, number>>;
}

export function createRequestStateTracker(): RequestStateTracker {
  const counts: Record<RequestState, number> = { waiting: 0, sending: 0, blocked: 0 };
  return {
    addRequest() {
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
