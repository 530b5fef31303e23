/** Simulates every workload with our policy and the baselines, and measures the cost of a decision. */
import * as Simulation from '@sequoiarill/decisions/lib/simulation';
import { Command } from 'commander';

import * as Cases from './decisions/cases';
import * as Means from './decisions/means';
import * as Reports from './decisions/report';
import * as Timing from './decisions/timing';
import * as Slopes from './decisionSlopes';

const TARGETS = 372;
const ORGANISATIONS = 6_500;

interface Options {
  readonly json?: boolean;
  readonly pattern?: string;
}

function simulateWorkloads(only: string | undefined): readonly Simulation.SimulationSummary[] {
  const policies = [
    Simulation.OWN_POLICY,
    ...Simulation.BASELINE_POLICIES,
    ...Simulation.BASELINE_CHOICE_POLICIES,
  ];
  return Simulation.WORKLOADS.filter(
    (workload) => only === undefined || workload.name === only,
  ).flatMap((workload) => policies.map((policy) => Means.simulateMean(workload, policy)));
}

function measureDecision(): number {
  const choose = Cases.createChoiceCase(TARGETS);
  const admission = Cases.createAdmissionCase(ORGANISATIONS);
  return Timing.measureMicros((index) => {
    admission.simulateRequest(index);
    choose(index);
  });
}

function runBench(options: Options): void {
  const report = Reports.buildReport(
    simulateWorkloads(options.pattern),
    Slopes.measureDecisionSlopes(),
    measureDecision(),
  );
  const text = options.json ? JSON.stringify(report, null, 2) : Reports.formatReport(report);
  process.stdout.write(`${text}\n`);
}

new Command('bench:decisions')
  .description('simulates workloads with our policy and with baseline policies')
  .option('--json', 'print JSON')
  .option('--pattern <name>', 'simulate only this workload')
  .action(runBench)
  .parse();
