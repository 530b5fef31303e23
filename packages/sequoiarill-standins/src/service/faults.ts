/** Faults that the plain service stand-in can be told to show. */
import * as Zod from 'zod';

export const serviceFaultSchema = Zod.discriminatedUnion('kind', [
  /** Every connection is cut and new ones are refused. What was run stays counted. */
  Zod.strictObject({
    kind: Zod.literal('die'),
    /** Milliseconds after which it comes back by itself; without it, `revive` does. */
    reviveAfterMs: Zod.number().int().min(0).optional(),
  }),
  /** Back on the same port; ends every other fault too. */
  Zod.strictObject({ kind: Zod.literal('revive') }),
  /** Calls hang, and are run when the fault ends, also when their caller has left. */
  Zod.strictObject({ kind: Zod.literal('pause') }),
  Zod.strictObject({ kind: Zod.literal('unpause') }),
  /** Each answer takes so much longer, in milliseconds; 0 ends it. */
  Zod.strictObject({ kind: Zod.literal('slow'), ms: Zod.number().int().min(0) }),
  /** The next so many calls are run, and their connections cut in place of the answer. */
  Zod.strictObject({ kind: Zod.literal('loseAnswers'), count: Zod.number().int().min(0) }),
  /** Everything is answered 503 at once and not run. */
  Zod.strictObject({ kind: Zod.literal('failFast') }),
  /** Ends every fault but `die`. */
  Zod.strictObject({ kind: Zod.literal('heal') }),
]);

export type ServiceFault = Readonly<Zod.infer<typeof serviceFaultSchema>>;
