/** Requests wait here while routers are asked whether a part of their prompts crashes targets. */
import * as Decisions from '@sequoiarill/decisions';
import type { PartHolder } from '@sequoiarill/decisions';
import type { Clock, PartBlock } from '@sequoiarill/types';

export type HeldPart = Pick<PartBlock, 'part' | 'others'> & {
  readonly organisation?: string | undefined;
};

export interface PartHolds {
  /** Holds requests that a block with these parts would refuse. */
  readonly add: (held: HeldPart, ms: number) => void;
  readonly remove: (part: string) => void;
  readonly isHeld: (holder: PartHolder) => boolean;
}

interface Hold {
  readonly block: Pick<PartBlock, 'part' | 'others' | 'organisation'>;
  readonly untilMs: number;
}

const MAX_HOLDS = 1_000;

export function createPartHolds({ getNowMs }: Pick<Clock, 'getNowMs'>): PartHolds {
  const holds = new Map<string, Hold>();

  function removeExpired(): void {
    const nowMs = getNowMs();
    for (const [part, { untilMs }] of holds) if (untilMs <= nowMs) holds.delete(part);
  }

  return {
    add({ part, others, organisation }, ms) {
      removeExpired();
      if (holds.size >= MAX_HOLDS) return;
      const block = { part, others, ...(organisation === undefined ? {} : { organisation }) };
      holds.set(part, { block, untilMs: getNowMs() + ms });
    },
    remove: (part) => holds.delete(part),
    isHeld(holder) {
      if (holds.size === 0) return false;
      removeExpired();
      return holder.parts.some((part) => {
        const hold = holds.get(part);
        return hold !== undefined && Decisions.isRefused(hold.block, holder);
      });
    },
  };
}
