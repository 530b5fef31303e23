/** What the decisions of one router cost at growing sizes, for the capacity page. */
import * as Cases from './decisions/cases';
import * as Timing from './decisions/timing';

/** Servers of one model in a zone, and multiples of it up to two zones of servers. */
export const TARGET_SIZES = [46, 93, 186, 372, 744] as const;
export const ORGANISATION_SIZES = [650, 1_625, 3_250, 6_500] as const;

export interface SlopeRow {
  /** Which decision. */
  readonly role: string;
  /** Targets or organisations, as the role says. */
  readonly size: number;
  /** Of one decision, microseconds of processor time. */
  readonly cpuMicros: number;
  /** Of its whole state at that size, bytes of heap. */
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

/** Some seconds of one core. */
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
    rows.push(measureRow('admission/organisations', size, admission.playRequest, admissionBytes));
    const sharesBytes = Timing.measureBytes(() => Cases.createSharesCase(size));
    const shares = Cases.createSharesCase(size);
    rows.push(measureRow('fleetShares/organisations', size, shares.playRequest, sharesBytes));
  }
  return rows;
}
