/** Measures what a router's decisions cost at growing sizes, for the capacity page. */
import * as Cases from './decisions/cases';
import * as Timing from './decisions/timing';

/** Servers of one model in a zone (46), and multiples up to all servers of two zones (744). */
export const TARGET_SIZES = [46, 93, 186, 372, 744] as const;
export const ORGANISATION_SIZES = [650, 1_625, 3_250, 6_500] as const;

export interface SlopeRow {
  /** The measured decision and the unit of its size. */
  readonly role: string;
  /** Number of targets or organisations, depending on the role. */
  readonly size: number;
  /** Processor time of one decision, in microseconds. */
  readonly cpuMicros: number;
  /** Heap of the complete state at that size, in bytes. */
  readonly memoryBytes: number;
}

function measureRow(
  role: string,
  size: number,
  call: (index: number) => void,
  memoryBytes: number,
): SlopeRow {
  return { role, size, cpuMicros: Timing.measureMicros(call), memoryBytes };
}

/** Measures all rows, which takes some seconds on one core. */
export function measureDecisionSlopes(): readonly SlopeRow[] {
  const rows: SlopeRow[] = [];
  for (const size of TARGET_SIZES) {
    const choiceBytes = Timing.measureBytes(() => Cases.createChoiceCase(size));
    rows.push(measureRow('targetChoice/targets', size, Cases.createChoiceCase(size), choiceBytes));
    const gapBytes = Timing.measureBytes(() => Cases.createGapCase(size));
    rows.push(measureRow('gapRecord/targets', size, Cases.createGapCase(size), gapBytes));
  }
  for (const size of ORGANISATION_SIZES) {
    const admissionBytes = Timing.measureBytes(() => Cases.createAdmissionCase(size));
    const admission = Cases.createAdmissionCase(size);
    rows.push(
      measureRow('admission/organisations', size, admission.simulateRequest, admissionBytes),
    );
  }
  return rows;
}
