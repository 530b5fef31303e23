/** Messages between the control measurement and the processes that run its routers. */

/** Starts the given routers in the process. */
export interface StartCommand {
  readonly kind: 'start';
  readonly names: readonly string[];
  readonly zone: string;
  readonly region: string;
  readonly platform: string;
  readonly seeds: readonly string[];
  readonly targets: readonly string[];
}

export interface MeasureCommand {
  readonly kind: 'measure';
}

export interface StopCommand {
  readonly kind: 'stop';
}

export type Command = StartCommand | MeasureCommand | StopCommand;

export interface StartedReport {
  readonly kind: 'started';
  readonly addresses: readonly string[];
}

/** Counters since the start; rates follow from the difference of two reports. */
export interface UsageReport {
  readonly kind: 'usage';
  readonly cpuMicros: number;
  /** Bytes sent and received on connections that peers opened to these routers. */
  readonly servedBytes: number;
  readonly heapBytes: number;
  /** Heap before the first router was started. */
  readonly idleHeapBytes: number;
  readonly alivePeers: number;
  readonly failedExchanges: number;
}

/** Sent when a router applies a revision; `atMs` is a time of the machine's monotonic clock. */
export interface RevisionReport {
  readonly kind: 'revision';
  readonly router: string;
  readonly revision: number;
  readonly atMs: number;
}

export type Report = StartedReport | UsageReport | RevisionReport;

const NANOS_PER_MS = 1e6;

/** Reads the monotonic clock, which all processes of the machine share. */
export function getMachineMs(): number {
  return Number(process.hrtime.bigint()) / NANOS_PER_MS;
}
