/** Policies to simulate: the one of this project, and common alternatives as baselines. */
import * as Admission from '../admission';
import type { Admission as AdmissionDecisions } from '../admissionTypes';
import * as ConcurrencyLimit from '../concurrencyLimit';
import * as ContinuationPacer from '../continuationPacer';
import * as OutlierDetector from '../outlierDetector';
import type { OutlierDetector as OutlierDecisions } from '../outlierTypes';
import * as RetryBudget from '../retryBudget';
import * as TargetChooser from '../targetChooser';
import type { TargetChoiceRequest } from '../targetChoiceTypes';
import { ENGINE_COUNT, ROUTER_COUNT, SLOTS_PER_ENGINE } from './workloads';

/** Components with which a router makes its decisions. A router without one of them skips that decision. */
export interface RouterPolicy {
  readonly chooseTarget: (request: TargetChoiceRequest) => string | undefined;
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

function createSimulatedAdmission(nextRandom: () => number): AdmissionDecisions {
  return Admission.createAdmission({
    nextRandom,
    createLimit: () =>
      ConcurrencyLimit.createConcurrencyLimit({
        initial: (ENGINE_COUNT * SLOTS_PER_ENGINE) / ROUTER_COUNT,
        min: 4,
        max: ENGINE_COUNT * SLOTS_PER_ENGINE,
        waitTargetMs: ConcurrencyLimit.DEFAULT_WAIT_TARGET_MS,
      }),
  });
}

function createLoadControls(nextRandom: () => number): Omit<RouterPolicy, 'chooseTarget'> {
  return {
    admission: createSimulatedAdmission(nextRandom),
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
    ...createLoadControls(nextRandom),
    recordEnd: chooser.recordEnd,
    chooseTarget: (request) => {
      const choice = chooser.chooseTarget(request);
      return choice.kind === 'target' ? choice.name : undefined;
    },
  };
}

function listNames(request: TargetChoiceRequest): readonly string[] {
  return request.candidates.map((view) => view.name).filter((name) => !request.excluded.has(name));
}

function createRoundRobin(): RouterPolicy {
  let nextIndex = 0;
  return {
    chooseTarget: (request) => {
      const names = listNames(request);
      nextIndex += 1;
      return names[nextIndex % names.length];
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

/** The target with the lowest reported load, however old the report; ties are broken at random. */
function createLeastReported(nextRandom: () => number): RouterPolicy {
  return {
    chooseTarget: (request) => {
      let leastLoaded: string | undefined;
      let leastLoad = Number.POSITIVE_INFINITY;
      for (const view of request.candidates) {
        const load = (view.reportedRunning ?? 0) + (view.reportedWaiting ?? 0) + nextRandom();
        if (!request.excluded.has(view.name) && load < leastLoad) {
          leastLoaded = view.name;
          leastLoad = load;
        }
      }
      return leastLoaded;
    },
  };
}

export const OWN_POLICY: PolicyDefinition = { name: 'ours', createPolicy: createOwnPolicy };

/** Target choice only, without admission control, as in a plain load balancer. */
export const BASELINE_POLICIES: readonly PolicyDefinition[] = [
  { name: 'roundRobin', createPolicy: createRoundRobin },
  { name: 'random', createPolicy: createRandomChoice },
  { name: 'leastReported', createPolicy: createLeastReported },
];

/**
 * The target choice of each baseline with this project's admission, outlier detection, pacing and retry
 * budget, to measure the effect of the target choice alone.
 */
export const BASELINE_CHOICE_POLICIES: readonly PolicyDefinition[] = BASELINE_POLICIES.map(
  (baseline) => ({
    name: `ours+${baseline.name}`,
    createPolicy: (nextRandom) => ({
      ...createLoadControls(nextRandom),
      ...baseline.createPolicy(nextRandom),
    }),
  }),
);
