/** Commands to engines about copies of a run's KV cache. */
import type { ForwardingTarget, ForwardingWire } from '@sequoiarill/types';

import type { RawHeader } from '../front/headers';
import type { EngineCaller } from '../targets/engineCalls';

/** Creates and releases copies of a run's KV cache on other engines. */
export interface CopyCommands {
  /** Handle of the copy; undefined when the engine did not create it. */
  readonly createCopy: (
    engine: ForwardingTarget,
    runId: string,
    holder: ForwardingTarget,
  ) => Promise<string | undefined>;
  readonly releaseCopy: (engine: ForwardingTarget, handle: string) => Promise<void>;
}

/**
 * Copying a few thousand tokens takes a few hundred milliseconds, and longer behind other copies.
 */
const CREATE_TIMEOUT_MS = 2_000;
const RELEASE_TIMEOUT_MS = 500;
const OK = 200;

export function createCopyCommands(wire: ForwardingWire, callEngine: EngineCaller): CopyCommands {
  /** Another target may have the engine's address by now, and must not run the command. */
  const createHeaders = ({ id }: ForwardingTarget): readonly RawHeader[] => [
    [wire.headers.expectedTarget, id],
  ];

  return {
    async createCopy(engine, runId, holder) {
      const body = wire.encodeCopyCommand({ runId, holder: holder.address });
      const response = await callEngine(engine, {
        method: 'POST',
        path: wire.copyPath,
        body,
        headers: createHeaders(engine),
        limitMs: CREATE_TIMEOUT_MS,
      });
      return response?.head.status === OK ? wire.decodeCopyHandle(response.text) : undefined;
    },
    async releaseCopy(engine, handle) {
      const path = wire.formatCopyPath(handle);
      const headers = createHeaders(engine);
      await callEngine(engine, { method: 'DELETE', path, headers, limitMs: RELEASE_TIMEOUT_MS });
    },
  };
}
