/** The steps of generations and orders, and the faults, that are combined in the fault matrix. */

export interface MatrixEntry {
  readonly code: string;
  readonly name: string;
}

export const GENERATION_STEPS = [
  { code: 'G1', name: 'accepted' },
  { code: 'G2', name: 'queued' },
  { code: 'G3', name: 'dispatched before the engine has it' },
  { code: 'G4', name: 'dispatched before the first token' },
  { code: 'G5', name: 'streaming early' },
  { code: 'G6', name: 'streaming late' },
  { code: 'G7', name: 'at the last token' },
  { code: 'G8', name: 'finished but not acknowledged' },
  { code: 'G9', name: 'cancelled' },
  { code: 'G10', name: 'resumed by the caller' },
] as const satisfies readonly MatrixEntry[];

export const ORDER_STEPS = [
  { code: 'O1', name: 'accepted' },
  { code: 'O2', name: 'claimed' },
  { code: 'O3', name: 'sent' },
  { code: 'O4', name: 'answered' },
  { code: 'O5', name: 'answer lost' },
  { code: 'O6', name: 'repeated at the same router' },
  { code: 'O7', name: 'repeated at another router' },
  { code: 'O8', name: "repeated after the first router's death" },
] as const satisfies readonly MatrixEntry[];

/** For an order, the target is a plain service instead of an engine. */
export const FAULTS = [
  { code: 'E1', name: 'target killed' },
  { code: 'E2', name: 'target paused and woken' },
  { code: 'E3', name: 'target slow' },
  { code: 'E4', name: 'target restarted at the same address without memory' },
  { code: 'E5', name: 'target answering late for work it no longer owns' },
  { code: 'E6', name: 'all targets paused together and woken' },
  { code: 'R1', name: 'router killed' },
  { code: 'R2', name: 'router paused past its lease and woken' },
  { code: 'R3', name: 'router drained by a planned stop' },
  { code: 'L1', name: 'link to the target cut towards it' },
  { code: 'L2', name: 'link to the target cut towards the router' },
  { code: 'L3', name: 'link to the target cut both ways' },
  { code: 'L4', name: 'link to the target stalled without a reset' },
  { code: 'Z1', name: 'two zones cut from each other' },
  { code: 'P1', name: 'platform down' },
  { code: 'P2', name: 'platform slow' },
  { code: 'P3', name: "platform's answer lost after the write" },
  { code: 'C1', name: 'caller gone' },
  { code: 'C2', name: 'caller slow to read' },
  { code: 'C3', name: 'caller back on another router' },
  { code: 'X1', name: 'target paused during a platform outage' },
  { code: 'X2', name: 'target killed, and the next one during the continuation' },
  { code: 'X3', name: 'target and router killed together' },
  { code: 'T1', name: 'target killed twice running' },
  { code: 'T2', name: 'target paused twice running' },
] as const satisfies readonly MatrixEntry[];

export type GenerationStep = (typeof GENERATION_STEPS)[number]['code'];
export type OrderStep = (typeof ORDER_STEPS)[number]['code'];
export type FaultCode = (typeof FAULTS)[number]['code'];
