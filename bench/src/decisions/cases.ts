/** Prepares decisions for timing, at the size of a router that the system is designed for. */
import * as Decisions from '@sequoiarill/decisions';
import * as Simulation from '@sequoiarill/decisions/lib/simulation';

const SEED = 5;
const SLOTS = 32;
const MODEL = 'model';
const LIMITS = { tokensPerSecond: 1e9, concurrentRequests: 1e6 };
/** Running requests of a router that gets 67 requests a second with streams of 30 s. */
const RUNNING = 2_000;

function buildView(index: number, nextRandom: () => number): Decisions.TargetView {
  return {
    name: `10.0.${index % 250}.${Math.floor(index / 250)}:8000`,
    zone: `zone-${index % 3}`,
    slots: SLOTS,
    inFlight: Math.floor(nextRandom() * 4),
    reportedRunning: Math.floor(nextRandom() * SLOTS),
    reportedWaiting: 0,
    reportAgeMs: nextRandom() * 1_000,
    sentSinceReport: Math.floor(nextRandom() * 3),
    state: 'healthy',
    warmShare: 1,
  };
}

/** Each call ends one stream and chooses among the targets for a request with a mostly known prefix. */
export function createChoiceCase(targets: number): (index: number) => void {
  const nextRandom = Simulation.createRandom(SEED);
  const candidates = Array.from({ length: targets }, (_value, index) =>
    buildView(index, nextRandom),
  );
  const chooser = Decisions.createTargetChooser({ nextRandom });
  const excluded = new Set<string>();
  const running: string[] = [];
  return (index) => {
    if (running.length >= RUNNING) chooser.recordEnd(running.shift() ?? '', index);
    const choice = chooser.chooseTarget({
      candidates,
      zone: 'zone-0',
      prefixKeys: [`question-${index}`, `shop-${index % 300}`],
      nowMs: index,
      excluded,
      purpose: 'first',
      promptTokens: 900,
    });
    if (choice.kind === 'target') running.push(choice.name);
  };
}

interface AdmissionCase {
  readonly admission: Decisions.Admission;
  readonly simulateRequest: (index: number) => void;
}

/** Creates a saturated router: each call admits one request and ends one running request. */
export function createAdmissionCase(organisations: number): AdmissionCase {
  const nextRandom = Simulation.createRandom(SEED);
  const admission = Decisions.createAdmission({
    nextRandom,
    createLimit: () =>
      Decisions.createConcurrencyLimit({
        initial: RUNNING,
        min: RUNNING,
        max: RUNNING,
        waitTargetMs: Decisions.DEFAULT_WAIT_TARGET_MS,
      }),
  });
  const running: Decisions.Permit[] = [];
  const organisationList = Array.from({ length: organisations }, (_value, index) => ({
    name: `organisation-${index}`,
    weight: 1 + (index % 4),
    priority: 5,
    limits: LIMITS,
  }));

  function simulateRequest(index: number): void {
    const nowMs = index * 10;
    const organisation =
      organisationList[Math.floor(nextRandom() * organisationList.length)] ?? organisationList[0];
    if (organisation === undefined) return;
    const decision = admission.admitRequest(
      { organisation, model: MODEL, promptTokens: 900, maxOutputTokens: 4_000 },
      nowMs,
    );
    if (decision.kind === 'admitted') running.push(decision.permit);
    if (running.length < RUNNING) return;
    const ended = running.shift();
    if (ended !== undefined) admission.releasePermit(ended, { outputTokens: 500 }, nowMs);
    for (const { outcome } of admission.takeNext(nowMs)) {
      if (outcome.kind === 'admitted') running.push(outcome.permit);
    }
  }

  for (let index = 0; index < organisations * 2; index += 1) simulateRequest(index);
  return { admission, simulateRequest: (index) => simulateRequest(index + organisations * 2) };
}

/** Each call records one gap in a stall policy and an outlier detector with this number of targets. */
export function createGapCase(targets: number): (index: number) => void {
  const nextRandom = Simulation.createRandom(SEED);
  const policy = Decisions.createStallPolicy();
  const detector = Decisions.createOutlierDetector();
  return (index) => {
    const target = `target-${index % targets}`;
    const ms = 25 + nextRandom() * 10;
    policy.recordGap(target, ms);
    detector.recordGap(target, ms, index * 0.03);
  };
}
