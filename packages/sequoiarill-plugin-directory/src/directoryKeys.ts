/** Tells what the keys of the store hold. */
import type { ForwardingWire } from '@sequoiarill/types';

export type KeyKind = 'configuration' | 'target' | 'router' | 'entry' | 'other';

/** `entry`: kept for other plug-ins, which decode it themselves. */
export function decideKeyKind(
  wire: Pick<ForwardingWire, 'configurationKey' | 'targetPrefix' | 'ownPrefix' | 'rolloutPrefix'>,
  key: string,
): KeyKind {
  if (key === wire.configurationKey) return 'configuration';
  if (key.startsWith(wire.targetPrefix)) return 'target';
  if (key.startsWith(`${wire.ownPrefix}routers/`)) return 'router';
  const isEntry = key.startsWith(wire.rolloutPrefix) || key.startsWith(wire.ownPrefix);
  return isEntry ? 'entry' : 'other';
}
