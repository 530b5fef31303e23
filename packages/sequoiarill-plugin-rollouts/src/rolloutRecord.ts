/** State of a roll-out in the store, from which any router can continue it. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

const recordSchema = Zod.object({
  /** Revision of the order that the roll-out carries out. */
  orderRevision: Zod.number().int(),
  fromVersion: Zod.string(),
  toVersion: Zod.string(),
  phase: Zod.enum(['canary', 'trial', 'moving', 'completed', 'rolledBack']),
  share: Zod.number().min(0).max(1),
  /** Time from the order to this record, milliseconds. */
  elapsedMs: Zod.number().min(0),
  reason: Zod.string(),
});

export type RolloutRecord = Readonly<Zod.infer<typeof recordSchema>>;

export function encodeRecord(record: RolloutRecord): string {
  return JSON.stringify(record);
}

export function isSameState(
  left: RolloutRecord | undefined,
  right: RolloutRecord | undefined,
): boolean {
  if (left === undefined || right === undefined) return left === right;
  const { orderRevision, phase, share } = left;
  const isOfOrder = Kernel.Revisions.isSameChange(orderRevision, right.orderRevision);
  return isOfOrder && phase === right.phase && share === right.share;
}

/** Returns undefined for a text that is not a valid record. */
export function decodeRecord(text: string): RolloutRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
