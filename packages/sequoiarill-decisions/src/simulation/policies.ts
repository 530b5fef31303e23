/** The policies that are played: ours, and what people use instead. */
import * as Admission from '../admission';
import type { Admission as AdmissionDecisions } from '../admissionTypes';
import * as ConcurrencyLimit from '../concurrencyLimit';
import * as ContinuationPacer from '../continuationPacer';
import * as OutlierDetector from '../outlierDetector';
import type { OutlierDetector as OutlierDecisions } from '../outlierTypes';
import * as RetryBudget from '../retryBudget';
import * as TargetChooser from '../targetChooser';
import type { ChoiceRequest } from '../targets';
import { ENGINES, ROUTERS, SLOTS } from './workloads';

/** Everything one router decides with. Absent parts are not decided at all. */
export interface RouterPolicy {
  readonly chooseTarget: (request: ChoiceRequest) => string | undefined;
  readonly recordEnd?: (target: string, nowMs: number) => void;
  readonly admission?: AdmissionDecisions;
  readonly detector?: OutlierDecisions;
  readonly pacer?: ContinuationPacer.ContinuationPacer;
  readonly budget?: RetryBudget.RetryBudget;
}

export interface PolicyDefinition {
  readonly name: string;
  readonly createPolicy: (nextRandom: () => number) => RouterPolicy;
}

function createPlayAdmission(nextRandom: () => number): AdmissionDecisions {
  return Admission.createAdmission({
    nextRandom,
    createLimit: () =>
      ConcurrencyLimit.createConcurrencyLimit({
        initial: (ENGINES * SLOTS) / ROUTERS,
        min: 4,
        max: ENGINES * SLOTS,
        targetMs: ConcurrencyLimit.DEFAULT_TARGET_MS,
      }),
  });
}

function createDecisions(nextRandom: () => number): Omit<RouterPolicy, 'chooseTarget'> {
  return {
    admission: createPlayAdmission(nextRandom),
    detector: OutlierDetector.createOutlierDetector(),
    pacer: ContinuationPacer.createContinuationPacer(),
    budget: RetryBudget.createRetryBudget({ ratio: 0.2, minPerSecond: 5, burst: 50 }),
  };
}

export function createOwnPolicy(
  nextRandom: () => number,
  samples?: TargetChooser.SampleCounts,
): RouterPolicy {
  const chooser = TargetChooser.createTargetChooser({
    nextRandom,
    ...(samples === undefined ? {} : { samples }),
  });
  return {
    ...createDecisions(nextRandom),
    recordEnd: chooser.recordEnd,
    chooseTarget: (request) => {
      const choice = chooser.chooseTarget(request);
      return choice.kind === 'target' ? choice.name : undefined;
    },
  };
}

function listNames(request: ChoiceRequest): readonly string[] {
  return request.candidates.map((view) => view.name).filter((name) => !request.excluded.has(name));
}

function createRoundRobin(): RouterPolicy {
  let next = 0;
  return {
    chooseTarget: (request) => {
      const names = listNames(request);
      next += 1;
      return names[next % names.length];
    },
  };
}

function createRandomChoice(nextRandom: () => number): RouterPolicy {
  return {
    chooseTarget: (request) => {
      const names = listNames(request);
      return names[Math.floor(nextRandom() * names.length)];
    },
  };
}

/** The least loaded by report, as the report stands; ties at random. */
function createLeastReported(nextRandom: () => number): RouterPolicy {
  return {
    chooseTarget: (request) => {
      let best: string | undefined;
      let bestLoad = Number.POSITIVE_INFINITY;
      for (const view of request.candidates) {
        const load = (view.reportedRunning ?? 0) + (view.reportedWaiting ?? 0) + nextRandom();
        if (!request.excluded.has(view.name) && load < bestLoad) {
          best = view.name;
          bestLoad = load;
        }
      }
      return best;
    },
  };
}

export const OWN_POLICY: PolicyDefinition = { name: 'ours', createPolicy: createOwnPolicy };

/** Choice of target alone, everything let in, as a balancer does it. */
export const BASELINE_POLICIES: readonly PolicyDefinition[] = [
  { name: 'roundRobin', createPolicy: createRoundRobin },
  { name: 'random', createPolicy: createRandomChoice },
  { name: 'leastReported', createPolicy: createLeastReported },
];

/** Our admission, outlier detection and pacing with another choice: what the choice itself gains. */
export const BASELINE_CHOICE_POLICIES: readonly PolicyDefinition[] = BASELINE_POLICIES.map(
  (baseline) => ({
    name: `ours+${baseline.name}`,
    createPolicy: (nextRandom) => ({
      ...createDecisions(nextRandom),
      ...baseline.createPolicy(nextRandom),
    }),
  }),
);
