/** Identifies incarnations of targets. */
import type { ForwardingTarget } from '@sequoiarill/types';

/** A target may restart under the same id, so the start time is part of the key. */
export function formatIncarnation({ id, startedAtUnixMs }: ForwardingTarget): string {
  return `${id}@${startedAtUnixMs}`;
}
