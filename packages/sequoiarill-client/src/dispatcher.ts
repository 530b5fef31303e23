/** The connections of a client. */
import * as Undici from 'undici';

function removeCode(error: Error): void {
  Object.assign(error, { code: undefined });
}

/**
 * Failure: a router that stops resets a connection whose stream is read slowly. By the code of the error, undici takes a
 * reset for the end of a response that announced the close of its connection, and asserts that this one is not paused,
 * which ends the process of the caller. Without the code, the response fails.
 */
export function createDispatcher(): Undici.Agent {
  const connect = Undici.buildConnector({});
  return new Undici.Agent({
    // Silent streams are watched instead of being broken off.
    bodyTimeout: 0,
    connect(options, callback) {
      connect(options, (...result) => {
        const [, socket] = result;
        socket?.on('error', removeCode);
        callback(...result);
      });
    },
  });
}
