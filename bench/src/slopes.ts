/** Measures all slopes used in docs/CAPACITY.md, with their sizes, fit and spread. */
import * as ConfigurationSlopes from './configurationSlopes';
import * as DecisionSlopes from './decisionSlopes';
import * as MembershipSlopes from './membershipSlopes';
import * as Outputs from './output';
import * as Fits from './slopes/fit';
import type { Point } from './slopes/fit';
import * as RelaySlopes from './slopes/relaySlopes';

/** Time between two tokens of a stream during the measurement of processor time. */
const STEP_MS = 30;
/**
 * Routers of a region. A whole fleet takes minutes to measure, and each router has no more exchanges
 * in it.
 */
const MEMBERSHIP_SIZES = [8, 16, 32, 96] as const;

interface SlopeRow {
  readonly role: string;
  /** The measured quantity and the unit of the size. */
  readonly unit: string;
  readonly sizes: string;
  readonly slope: number;
  readonly intercept: number;
  readonly r2: number;
  /** Largest distance of a point from the line, as a share of the largest value. */
  readonly spread: number;
}

function createRow(role: string, unit: string, points: readonly Point[]): SlopeRow {
  const fit = Fits.computeFit(points);
  return {
    role,
    unit,
    sizes: points.map(({ size }) => Math.round(size)).join(' '),
    slope: Number(fit.slope.toPrecision(4)),
    intercept: Number(fit.intercept.toPrecision(4)),
    r2: Outputs.computeRounded(fit.r2, 3),
    spread: Outputs.computeRounded(fit.spread, 3),
  };
}

function listConfigurationRows(): readonly SlopeRow[] {
  const rows = ConfigurationSlopes.measureConfigurationSlopes();
  const pick = (get: (row: (typeof rows)[number]) => number) =>
    rows.map((row) => ({ size: row.size, value: get(row) }));
  return [
    createRow(
      'configuration',
      'cpu ms of one change, per organisation',
      pick((row) => row.cpuMs),
    ),
    createRow(
      'configuration',
      'MB held, per organisation',
      pick((row) => row.memoryMB),
    ),
    createRow(
      'configuration',
      'bytes of one change, per organisation',
      pick((row) => row.bytes),
    ),
  ];
}

function listDecisionRows(): readonly SlopeRow[] {
  const rows = DecisionSlopes.measureDecisionSlopes();
  const roles = [...new Set(rows.map(({ role }) => role))];
  return roles.flatMap((role) => {
    const roleRows = rows.filter((row) => row.role === role);
    const cpu = roleRows.map((row) => ({ size: row.size, value: row.cpuMicros }));
    const memory = roleRows.map((row) => ({ size: row.size, value: row.memoryBytes }));
    return [
      createRow(`decisions: ${role}`, 'cpu microseconds, per size', cpu),
      createRow(`decisions: ${role}`, 'bytes held, per size', memory),
    ];
  });
}

function listMembershipRows(): readonly SlopeRow[] {
  const rows = MembershipSlopes.measureMembershipSlopes(MEMBERSHIP_SIZES);
  const pick = (get: (row: (typeof rows)[number]) => number) =>
    rows.map((row) => ({ size: row.size, value: get(row) }));
  return [
    createRow(
      'membership',
      'cpu microseconds a second, per peer',
      pick((r) => r.cpuMicrosPerSecond),
    ),
    createRow(
      'membership',
      'bytes a second, per peer',
      pick((r) => r.bytesPerSecond),
    ),
    createRow(
      'membership',
      'bytes held, per peer',
      pick((r) => r.memoryBytes),
    ),
  ];
}

async function measureSlopes(): Promise<Outputs.Result> {
  const relayRows = [
    createRow('stream', 'resident bytes, per open stream', await RelaySlopes.measureStreamMemory()),
    createRow(
      'relay',
      'cpu ms a second, per token a second',
      await RelaySlopes.measureTokenCpu(STEP_MS),
    ),
    createRow(
      'request',
      'cpu ms a second, per request a second',
      await RelaySlopes.measureRequestCpu(),
    ),
  ];
  return {
    slopes: [
      ...relayRows,
      ...listConfigurationRows(),
      ...listDecisionRows(),
      ...listMembershipRows(),
    ],
  };
}

Outputs.runBench(measureSlopes);
