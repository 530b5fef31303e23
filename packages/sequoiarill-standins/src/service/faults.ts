/** Faults that can be injected into the plain service stand-in. */
import * as Zod from 'zod';

export const serviceFaultSchema = Zod.discriminatedUnion('kind', [
  /**
   * Simulates a crash: closes every connection and refuses new ones. The counters of runs are
   * retained.
   */
  Zod.strictObject({
    kind: Zod.literal('die'),
    /** Milliseconds after which the stand-in restarts; without it, only `revive` restarts it. */
    reviveAfterMs: Zod.number().int().min(0).optional(),
  }),
  /** Restarts on the same port and clears every other fault. */
  Zod.strictObject({ kind: Zod.literal('revive') }),
  /** Calls hang and are run when the fault is cleared, even if their caller has disconnected. */
  Zod.strictObject({ kind: Zod.literal('pause') }),
  Zod.strictObject({ kind: Zod.literal('unpause') }),
  /** Delays each answer by `ms` milliseconds; 0 clears the fault. */
  Zod.strictObject({ kind: Zod.literal('slow'), ms: Zod.number().int().min(0) }),
  /** Runs the next `count` calls, but closes their connections instead of answering. */
  Zod.strictObject({ kind: Zod.literal('loseAnswers'), count: Zod.number().int().min(0) }),
  /** Answers every call with 503 at once, without running it. */
  Zod.strictObject({ kind: Zod.literal('failFast') }),
  /** Clears every fault except `die`. */
  Zod.strictObject({ kind: Zod.literal('heal') }),
]);

export type ServiceFault = Readonly<Zod.infer<typeof serviceFaultSchema>>;
