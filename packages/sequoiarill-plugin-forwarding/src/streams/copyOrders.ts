/** Orders to engines about copies of a run's memory. */
import type { ForwardingTarget, ForwardingWire } from '@sequoiarill/types';

import type { EngineCaller } from '../targets/engineCalls';

/** How engines are told to make copies and to free them. */
export interface CopyOrders {
  /** Handle of the copy; undefined when it was not made. */
  readonly createCopy: (
    engine: ForwardingTarget,
    runId: string,
    keeper: ForwardingTarget,
  ) => Promise<string | undefined>;
  readonly releaseCopy: (engine: ForwardingTarget, handle: string) => Promise<void>;
}

/** A copy of some thousand tokens takes some hundred milliseconds, queued behind others more. */
const ORDER_LIMIT_MS = 2_000;
const RELEASE_LIMIT_MS = 500;
const OK = 200;

export function createCopyOrders(wire: ForwardingWire, callEngine: EngineCaller): CopyOrders {
  return {
    async createCopy(engine, runId, keeper) {
      const body = wire.encodeCopyOrder({ runId, keeper: keeper.address });
      const order = { method: 'POST', path: wire.copyPath, body, limitMs: ORDER_LIMIT_MS } as const;
      const answer = await callEngine(engine, order);
      return answer?.head.status === OK ? wire.decodeCopyHandle(answer.text) : undefined;
    },
    async releaseCopy(engine, handle) {
      const path = wire.formatCopyPath(handle);
      await callEngine(engine, { method: 'DELETE', path, limitMs: RELEASE_LIMIT_MS });
    },
  };
}
