/** Faults that can be injected into the engine stand-in. */
import * as Zod from 'zod';

const tokenCountSchema = Zod.number().int().min(0);

/** Milliseconds after which the stand-in restarts; without it, only `revive` restarts it. */
const reviveAfterMsSchema = Zod.number().int().min(0).optional();

export const engineFaultSchema = Zod.discriminatedUnion('kind', [
  /** Simulates a crash: closes every connection, refuses new ones and loses all state. */
  Zod.strictObject({ kind: Zod.literal('die'), reviveAfterMs: reviveAfterMsSchema }),
  /** Restarts on the same port as a new incarnation and clears every other fault. */
  Zod.strictObject({ kind: Zod.literal('revive') }),
  /** Pauses the process: nothing is generated or answered, but connections stay open. */
  Zod.strictObject({ kind: Zod.literal('pause') }),
  /** Clears `pause` and `stallAfterTokens`. */
  Zod.strictObject({ kind: Zod.literal('unpause') }),
  /** Steps take `factor` times as long; 1 clears the fault. */
  Zod.strictObject({ kind: Zod.literal('slow'), factor: Zod.number().positive() }),
  /** Simulates a crash as soon as any generation has produced `count` tokens. */
  Zod.strictObject({
    kind: Zod.literal('dieAfterTokens'),
    count: tokenCountSchema,
    reviveAfterMs: reviveAfterMsSchema,
  }),
  /**
   * Stalls all generations once one has produced `count` tokens, while other requests are still
   * answered.
   */
  Zod.strictObject({ kind: Zod.literal('stallAfterTokens'), count: tokenCountSchema }),
  /** Answers every request with 503 at once. */
  Zod.strictObject({ kind: Zod.literal('failFast') }),
  /** Refuses new generations; those in progress continue. */
  Zod.strictObject({ kind: Zod.literal('drain') }),
  /** Clears every fault except `die`. */
  Zod.strictObject({ kind: Zod.literal('heal') }),
]);

export type EngineFault = Readonly<Zod.infer<typeof engineFaultSchema>>;
