/** Faults that the platform stand-in can be told to show. */
import * as Zod from 'zod';

export const platformFaultSchema = Zod.discriminatedUnion('kind', [
  /** Connections are taken and cut before anything is done. */
  Zod.strictObject({ kind: Zod.literal('down') }),
  /** Connections are cut and refused, until `up` or for so many milliseconds. */
  Zod.strictObject({
    kind: Zod.literal('refuse'),
    forMs: Zod.number().int().min(0).optional(),
  }),
  /** Calls hang, and are done when the fault ends. */
  Zod.strictObject({ kind: Zod.literal('hang') }),
  /** Each call waits so long before it is done, in milliseconds; 0 ends it. */
  Zod.strictObject({ kind: Zod.literal('slow'), ms: Zod.number().int().min(0) }),
  /**
   * The next so many calls are done, and their connections cut in place of the answer: those on
   * `path`, or all that change something.
   */
  Zod.strictObject({
    kind: Zod.literal('loseAnswers'),
    count: Zod.number().int().min(0),
    path: Zod.string().optional(),
  }),
  /** Watches are cut, and the revisions they would go on from are compacted. */
  Zod.strictObject({ kind: Zod.literal('watchGap') }),
  /** Ends every fault. */
  Zod.strictObject({ kind: Zod.literal('up') }),
]);

export type PlatformFault = Readonly<Zod.infer<typeof platformFaultSchema>>;
