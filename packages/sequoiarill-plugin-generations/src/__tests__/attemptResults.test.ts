import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as AttemptResults from '../attemptResults';

function createError(code: string, syscall?: string): NodeJS.ErrnoException {
  return Object.assign(new Error(code), { code, ...(syscall && { syscall }) });
}

describe('end of an attempt', () => {
  it('says "not run" of an error of the connect only, whatever its code is', () => {
    // The route to an engine's VM breaks after the request was sent and before the answer began. The
    // error has the code of a connect that failed; taken for one, the caller would hear "not run" of
    // what the engine runs.
    const connectLoss = AttemptResults.createConnectionLoss(
      createError('EHOSTUNREACH', 'connect'),
      false,
    );
    const readLoss = AttemptResults.createConnectionLoss(
      createError('EHOSTUNREACH', 'read'),
      false,
    );
    const timeoutLoss = AttemptResults.createConnectionLoss(
      createError('UND_ERR_CONNECT_TIMEOUT'),
      false,
    );
    expect(connectLoss.mayHaveRun).toEqual(false);
    expect(timeoutLoss.mayHaveRun).toEqual(false);
    expect(readLoss.mayHaveRun).toEqual(true);
  });
});
