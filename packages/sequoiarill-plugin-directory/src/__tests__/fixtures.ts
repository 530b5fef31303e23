/** Test documents and wire format of a directory. */
import * as Kernel from '@sequoiarill/kernel';
import type { ForwardingTarget, ForwardingWire, LogEvent } from '@sequoiarill/types';

interface FakeDocument {
  readonly version?: number;
  readonly target?: {
    readonly address: string;
    readonly startedAtUnixMs?: number;
    readonly state?: ForwardingTarget['state'];
  };
}

/** Names and formats used only in these tests. */
export const WIRE: ForwardingWire = Kernel.createFakeWire({
  decodeConfiguration(text) {
    const { version } = JSON.parse(text) as FakeDocument;
    if (version === undefined) return { kind: 'malformed', reason: 'no version' };
    const limits = {
      maxHeaderBytes: 1_000,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    };
    const configuration = { version, routes: [], services: new Map(), limits };
    return { kind: 'configuration', configuration };
  },
  decodeTarget(key, text) {
    const { target } = JSON.parse(text) as FakeDocument;
    if (target === undefined) return { kind: 'malformed', reason: 'no target' };
    return {
      kind: 'target',
      target: {
        id: key.slice('targets/'.length),
        startedAtUnixMs: target.startedAtUnixMs ?? 1,
        service: 'engines',
        version: 'v1',
        models: 'm 1',
        address: target.address,
        zone: 'a',
        slots: 1,
        state: target.state ?? 'ready',
        warmupLeftMs: 0,
      },
    };
  },
});

export function createTargetText(
  address: string,
  startedAtUnixMs = 1,
  state: ForwardingTarget['state'] = 'ready',
): string {
  return JSON.stringify({ target: { address, startedAtUnixMs, state } });
}

export function createConfigurationText(version: number): string {
  return JSON.stringify({ version });
}

export interface EventLog {
  readonly logEvent: LogEvent;
  readonly listNames: () => readonly string[];
}

export function createEventLog(): EventLog {
  const names: string[] = [];
  return {
    logEvent: ({ name }) => {
      names.push(name);
    },
    listNames: () => names,
  };
}
