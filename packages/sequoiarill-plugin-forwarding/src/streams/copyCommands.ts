/** Commands to engines about copies of a run's KV cache. */
import type { ForwardingTarget, ForwardingWire } from '@sequoiarill/types';

import type { RawHeader } from '../front/headers';
import type { EngineCaller } from '../targets/engineCalls';
import * as Incarnations from '../targets/targetIncarnation';

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

/** Copies last for seconds, and a node begins a few of them a second. */
const MAX_REMEMBERED_HANDLES = 1_024;

/**
 * Failure: an engine sends the response to a command a second time, where that to the next one is due. The handle of one
 * copy is taken for that of another, and a run goes on from the KV cache of another request. So a handle that was given
 * for another run is refused.
 */
function createHandleMemory(): (
  engine: ForwardingTarget,
  handle: string,
  runId: string,
) => boolean {
  /** Oldest first. */
  const runIds = new Map<string, string>();

  return function isOfRun(engine, handle, runId) {
    const key = `${Incarnations.formatIncarnation(engine)} ${handle}`;
    const known = runIds.get(key);
    if (known === undefined) runIds.set(key, runId);
    const [oldest = key] = runIds.keys();
    if (runIds.size > MAX_REMEMBERED_HANDLES) runIds.delete(oldest);
    return known === undefined || known === runId;
  };
}

export function createCopyCommands(wire: ForwardingWire, callEngine: EngineCaller): CopyCommands {
  const isOfRun = createHandleMemory();

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
      if (response?.head.status !== OK) return undefined;
      const handle = wire.decodeCopyHandle(response.text);
      return handle !== undefined && isOfRun(engine, handle, runId) ? handle : undefined;
    },
    async releaseCopy(engine, handle) {
      const path = wire.formatCopyPath(handle);
      const headers = createHeaders(engine);
      await callEngine(engine, { method: 'DELETE', path, headers, limitMs: RELEASE_TIMEOUT_MS });
    },
  };
}
