import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as AttemptResults from '../attemptResults';

function createError(code: string, syscall?: string): NodeJS.ErrnoException {
  return Object.assign(new Error(code), { code, ...(syscall && { syscall }) });
}

describe('attempt result', () => {
  it('reports "not run" for connect errors only, whatever the error code', () => {
    // The route to an engine's VM breaks after the request was sent and before the response began. The
    // error has the code of a failed connect; if it is taken for one, the caller is told that the
    // request was not run although the engine is running it.
    const atConnect = AttemptResults.createConnectionLoss(
      createError('EHOSTUNREACH', 'connect'),
      false,
    );
    const atRead = AttemptResults.createConnectionLoss(createError('EHOSTUNREACH', 'read'), false);
    const late = AttemptResults.createConnectionLoss(createError('UND_ERR_CONNECT_TIMEOUT'), false);
    expect(atConnect.mayHaveRun).toEqual(false);
    expect(late.mayHaveRun).toEqual(false);
    expect(atRead.mayHaveRun).toEqual(true);
  });
});
