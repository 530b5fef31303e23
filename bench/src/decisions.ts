/** Decisions under load: every pattern through our policy and the baselines, and what a decision costs. */
import * as Play from '@sequoiarill/decisions/lib/simulation';
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

function playAll(only: string | undefined): readonly Play.SimulationSummary[] {
  const policies = [Play.OWN_POLICY, ...Play.BASELINE_POLICIES, ...Play.BASELINE_CHOICE_POLICIES];
  return Play.WORKLOADS.filter((pattern) => only === undefined || pattern.name === only).flatMap(
    (pattern) => policies.map((policy) => Means.playMean(pattern, policy)),
  );
}

function measureDecision(): number {
  const choose = Cases.createChoiceCase(TARGETS);
  const admission = Cases.createAdmissionCase(ORGANISATIONS);
  const shares = Cases.createSharesCase(ORGANISATIONS);
  return Timing.measureMicros((index) => {
    shares.playRequest(index);
    admission.playRequest(index);
    choose(index);
  });
}

function runBench(options: Options): void {
  const report = Reports.buildReport(
    playAll(options.pattern),
    Slopes.measureDecisionSlopes(),
    measureDecision(),
  );
  const text = options.json ? JSON.stringify(report, null, 2) : Reports.formatReport(report);
  process.stdout.write(`${text}\n`);
}

new Command('bench:decisions')
  .description('plays patterns of load through our decisions and through baselines')
  .option('--json', 'print JSON')
  .option('--pattern <name>', 'play only this pattern')
  .action(runBench)
  .parse();
