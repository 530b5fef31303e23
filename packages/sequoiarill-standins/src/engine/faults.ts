/** Faults that an engine stand-in can be told to show. */
import * as Zod from 'zod';

const tokenCountSchema = Zod.number().int().min(0);

/** Milliseconds after which the stand-in comes back by itself; without it, `revive` does. */
const reviveAfterSchema = Zod.number().int().min(0).optional();

export const engineFaultSchema = Zod.discriminatedUnion('kind', [
  /** Every connection is cut and new ones are refused; all state is lost. */
  Zod.strictObject({ kind: Zod.literal('die'), reviveAfterMs: reviveAfterSchema }),
  /** Back on the same port with a new incarnation; ends every other fault too. */
  Zod.strictObject({ kind: Zod.literal('revive') }),
  /** Nothing moves and nothing is answered; connections stay open. */
  Zod.strictObject({ kind: Zod.literal('pause') }),
  /** Ends `pause` and a stall. */
  Zod.strictObject({ kind: Zod.literal('unpause') }),
  /** Steps take so many times longer; 1 ends it. */
  Zod.strictObject({ kind: Zod.literal('slow'), factor: Zod.number().positive() }),
  /** Dies as soon as any stream has produced so many tokens. */
  Zod.strictObject({
    kind: Zod.literal('dieAfterTokens'),
    count: tokenCountSchema,
    reviveAfterMs: reviveAfterSchema,
  }),
  /** No token more for anyone once a stream has so many, while everything else is answered. */
  Zod.strictObject({ kind: Zod.literal('stallAfterTokens'), count: tokenCountSchema }),
  /** Everything is answered 503 at once. */
  Zod.strictObject({ kind: Zod.literal('failFast') }),
  /** No new generation; those in progress go on. */
  Zod.strictObject({ kind: Zod.literal('drain') }),
  /** Ends every fault but `die`. */
  Zod.strictObject({ kind: Zod.literal('heal') }),
]);

export type EngineFault = Readonly<Zod.infer<typeof engineFaultSchema>>;
