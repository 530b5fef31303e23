/** Outcomes of calls to other routers. */

interface FailedCall {
  readonly kind: 'failed';
  readonly reason: string;
}

/** Turns the failure of a call, or an invalid response, into an outcome. */
export async function runCall<Outcome>(
  call: () => Promise<Outcome>,
): Promise<Outcome | FailedCall> {
  try {
    return await call();
  } catch (error) {
    return { kind: 'failed', reason: (error as Error).message };
  }
}
