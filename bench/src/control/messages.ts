/** Messages between the control measurement and the processes that hold its routers. */

/** What a process is told to run. */
export interface RoutersOrder {
  readonly kind: 'start';
  readonly names: readonly string[];
  readonly zone: string;
  readonly region: string;
  readonly platform: string;
  readonly seeds: readonly string[];
  readonly targets: readonly string[];
}

export interface MeasureOrder {
  readonly kind: 'measure';
}

export interface StopOrder {
  readonly kind: 'stop';
}

export type Order = RoutersOrder | MeasureOrder | StopOrder;

export interface StartedReport {
  readonly kind: 'started';
  readonly addresses: readonly string[];
}

/** Counters since the start; differences of two make rates. */
export interface UsageReport {
  readonly kind: 'usage';
  readonly cpuMicros: number;
  /** Sent and received on the sockets that peers opened to these routers. */
  readonly servedBytes: number;
  readonly heapBytes: number;
  /** The same before the first router was started. */
  readonly idleHeapBytes: number;
  readonly alivePeers: number;
  readonly failedExchanges: number;
}

/** A router runs this revision; time of the machine's monotonic clock, in milliseconds. */
export interface RevisionReport {
  readonly kind: 'revision';
  readonly router: string;
  readonly revision: number;
  readonly atMs: number;
}

export type Report = StartedReport | UsageReport | RevisionReport;

const NANOS_PER_MS = 1e6;

/** One clock for all processes of the machine. */
export function getMachineMs(): number {
  return Number(process.hrtime.bigint()) / NANOS_PER_MS;
}
