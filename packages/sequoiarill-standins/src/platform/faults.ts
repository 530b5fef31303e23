/** Faults that can be injected into the platform stand-in. */
import * as Zod from 'zod';

export const platformFaultSchema = Zod.discriminatedUnion('kind', [
  /** Accepts connections and closes them without handling any call. */
  Zod.strictObject({ kind: Zod.literal('down') }),
  /** Closes connections and refuses new ones, until `up` or for `forMs` milliseconds. */
  Zod.strictObject({
    kind: Zod.literal('refuse'),
    forMs: Zod.number().int().min(0).optional(),
  }),
  /** Calls hang and are run when the fault is cleared. */
  Zod.strictObject({ kind: Zod.literal('hang') }),
  /** Delays each call by `ms` milliseconds before it is run; 0 clears the fault. */
  Zod.strictObject({ kind: Zod.literal('slow'), ms: Zod.number().int().min(0) }),
  /**
   * Runs the next `count` calls, but closes their connections instead of responding. Applies to
   * calls on `path`, or without it to all calls that change the store.
   */
  Zod.strictObject({
    kind: Zod.literal('loseAnswers'),
    count: Zod.number().int().min(0),
    path: Zod.string().optional(),
  }),
  /** Closes all watches and compacts the revisions from which they would resume. */
  Zod.strictObject({ kind: Zod.literal('watchGap') }),
  /** Clears every fault. */
  Zod.strictObject({ kind: Zod.literal('up') }),
]);

export type PlatformFault = Readonly<Zod.infer<typeof platformFaultSchema>>;
