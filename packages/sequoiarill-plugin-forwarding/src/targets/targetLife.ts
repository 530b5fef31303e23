/** Names for lives of targets. */
import type { ForwardingTarget } from '@sequoiarill/types';

/** A target may start again under the id that it had. */
export function formatIncarnation({ id, startedAtUnixMs }: ForwardingTarget): string {
  return `${id}@${startedAtUnixMs}`;
}
