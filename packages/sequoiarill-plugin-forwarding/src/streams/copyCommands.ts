/** Orders to engines about copies of a run's memory. */
import type { ForwardingTarget, ForwardingWire } from '@sequoiarill/types';

import type { RawHeader } from '../front/headers';
import type { EngineCaller } from '../targets/engineCalls';

/** How engines are told to make copies and to free them. */
export interface CopyCommands {
  /** Handle of the copy; undefined when it was not made. */
  readonly createCopy: (
    engine: ForwardingTarget,
    runId: string,
    holder: ForwardingTarget,
  ) => Promise<string | undefined>;
  readonly releaseCopy: (engine: ForwardingTarget, handle: string) => Promise<void>;
}

/** A copy of some thousand tokens takes some hundred milliseconds, queued behind others more. */
const ORDER_LIMIT_MS = 2_000;
const RELEASE_LIMIT_MS = 500;
const OK = 200;

export function createCopyCommands(wire: ForwardingWire, callEngine: EngineCaller): CopyCommands {
  /** Another target may have the engine's address by now, and must not take the order for work. */
  const createHeaders = ({ id }: ForwardingTarget): readonly RawHeader[] => [
    [wire.headers.expectedTarget, id],
  ];

  return {
    async createCopy(engine, runId, holder) {
      const body = wire.encodeCopyCommand({ runId, holder: holder.address });
      const answer = await callEngine(engine, {
        method: 'POST',
        path: wire.copyPath,
        body,
        headers: createHeaders(engine),
        limitMs: ORDER_LIMIT_MS,
      });
      return answer?.head.status === OK ? wire.decodeCopyHandle(answer.text) : undefined;
    },
    async releaseCopy(engine, handle) {
      const path = wire.formatCopyPath(handle);
      const headers = createHeaders(engine);
      await callEngine(engine, { method: 'DELETE', path, headers, limitMs: RELEASE_LIMIT_MS });
    },
  };
}
