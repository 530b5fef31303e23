/**
 * Defines the fault matrix: which faults are tested at which step. A cell is proved only by the test
 * whose name begins with the cell's id.
 */
import * as Steps from './steps';
import type { FaultCode, GenerationStep, OrderStep } from './steps';

export interface Cell {
  /** For example `G5-E1`; the name of the cell's test begins with it. */
  readonly id: string;
  readonly step: string;
  readonly fault: string;
}

const TARGET_FAULTS = ['E1', 'E2', 'E3', 'E4', 'E5'] as const;
const ROUTER_FAULTS = ['R1', 'R2', 'R3'] as const;
const LINK_FAULTS = ['L1', 'L2', 'L3', 'L4'] as const;
const PLATFORM_FAULTS = ['P1', 'P2', 'P3'] as const;
const COMMON_FAULTS = [
  ...TARGET_FAULTS,
  ...ROUTER_FAULTS,
  ...LINK_FAULTS,
  'Z1',
  ...PLATFORM_FAULTS,
] as const;
const FAULT_PAIRS = ['X1', 'X2', 'X3', 'T1', 'T2'] as const;

/** Excludes E5: a target that has not got the request yet can't answer it late. */
const FAULTS_BEFORE_TARGET: readonly FaultCode[] = COMMON_FAULTS.filter((code) => code !== 'E5');

const FAULTS_BY_GENERATION_STEP: Readonly<Record<GenerationStep, readonly FaultCode[]>> = {
  G1: [...FAULTS_BEFORE_TARGET, 'C1'],
  G2: [...FAULTS_BEFORE_TARGET, 'C1'],
  G3: [...COMMON_FAULTS, 'E6', 'C1'],
  G4: [...COMMON_FAULTS, 'E6', 'C1', 'X1', 'X2', 'T1'],
  G5: [...COMMON_FAULTS, 'E6', 'C1', 'C2', 'C3', ...FAULT_PAIRS],
  G6: [...COMMON_FAULTS, 'E6', 'C1', 'C2', 'C3', ...FAULT_PAIRS],
  G7: [...COMMON_FAULTS, 'E6', 'C1', 'X1', 'X3'],
  G8: [...COMMON_FAULTS, 'E6', 'C1', 'C2', 'X1'],
  // The caller has already disconnected in this step.
  G9: [...COMMON_FAULTS, 'E6'],
  G10: [...COMMON_FAULTS, 'E6', 'C1', 'C3', 'X1', 'X2'],
};

const FAULTS_BY_ORDER_STEP: Readonly<Record<OrderStep, readonly FaultCode[]>> = {
  O1: [...FAULTS_BEFORE_TARGET, 'C1'],
  O2: [...FAULTS_BEFORE_TARGET, 'C1', 'X1'],
  O3: [...COMMON_FAULTS, 'C1', 'X1', 'X3'],
  O4: [...COMMON_FAULTS, 'C1', 'X1', 'X3'],
  O5: [...COMMON_FAULTS, 'C1', 'X1'],
  O6: [...FAULTS_BEFORE_TARGET, 'T1'],
  O7: [...FAULTS_BEFORE_TARGET, 'T1'],
  O8: FAULTS_BEFORE_TARGET,
};

function listStepCells(
  steps: readonly Steps.MatrixEntry[],
  faultsByStep: Readonly<Record<string, readonly FaultCode[]>>,
): readonly Cell[] {
  return steps.flatMap(({ code, name }) =>
    Steps.FAULTS.filter((fault) => faultsByStep[code]!.includes(fault.code)).map((fault) => ({
      id: `${code}-${fault.code}`,
      step: name,
      fault: fault.name,
    })),
  );
}

/** All cells, generations first, ordered by step and fault. */
export const CELLS: readonly Cell[] = [
  ...listStepCells(Steps.GENERATION_STEPS, FAULTS_BY_GENERATION_STEP),
  ...listStepCells(Steps.ORDER_STEPS, FAULTS_BY_ORDER_STEP),
];

const cellsById: ReadonlyMap<string, Cell> = new Map(CELLS.map((cell) => [cell.id, cell]));

/** Formats the name of a cell's test; throws for an unknown id, which is a mistake in the test. */
export function formatTestName(id: string): string {
  const cell = cellsById.get(id);
  if (cell === undefined) throw new Error(`the fault matrix has no cell "${id}"`);
  return `${id} ${cell.step} × ${cell.fault}`;
}
