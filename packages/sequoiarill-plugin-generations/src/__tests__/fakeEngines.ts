/**
 * Simulated engines without sockets; the next token depends only on the ids so far, as in a real
 * engine with a fixed seed.
 */
import type {
  EngineTarget,
  GenerationOutcome,
  GenerationRequest,
  Journal,
  Model,
  TokenBatch,
} from '@sequoiarill/types';

import type { EngineEvent } from '../answer';
import type { AttemptSilence } from '../attempt';
import type { AttemptResult } from '../attemptResults';
import * as Generations from '../generation';
import type { Attempt, GenerationDependencies } from '../generation';

export const PROMPT_IDS: readonly number[] = [11, 12, 13];
/** Text of the tokens; `LEAD_ID` and `TRAIL_ID` together encode one further character. */
const TOKEN_TEXTS = [' size', ' fits', ' 4', '2', ' wide', '. ', 'ha', 'lf'];
const LEAD_ID = 100;
const TRAIL_ID = 101;

export const model: Model = {
  name: 'fit',
  version: '1',
  contextTokens: 1000,
  maxOutputTokens: 100,
};

function computeNextId(ids: readonly number[]): number {
  if (ids.at(-1) === LEAD_ID) return TRAIL_ID;
  const sum = ids.reduce((hash, id) => (hash * 31 + id) % 65_521, 7);
  return sum % 9 === 8 ? LEAD_ID : sum % 9;
}

function getText(id: number): string {
  if (id === LEAD_ID) return '';
  return id === TRAIL_ID ? 'ð' : TOKEN_TEXTS[id]!;
}

/** Events of a run without faults that starts from the given ids. */
export function listEvents(ids: readonly number[], maxTokens: number): readonly EngineEvent[] {
  const all = [...ids];
  const events: EngineEvent[] = [];
  for (let count = 0; count < maxTokens; count += 1) {
    const id = computeNextId(all);
    // Like a real engine, a continuation that starts inside a character yields a wrong one.
    const isCut = id === TRAIL_ID && count === 0;
    all.push(id);
    events.push({ text: isCut ? '\uFFFD' : getText(id), tokenIds: [id] });
  }
  return events;
}

export type Fault =
  | { readonly kind: 'none' }
  | { readonly kind: 'lost'; readonly afterEvents: number }
  /** The engine goes on unless it is given up meanwhile. */
  | { readonly kind: 'silent'; readonly afterEvents: number }
  | { readonly kind: 'refused' }
  | { readonly kind: 'busy' };

export interface Run {
  readonly text: string;
  readonly tokenCount: number;
  readonly outcome: GenerationOutcome;
  readonly attempts: readonly Attempt[];
}

export function createTarget(index: number): EngineTarget {
  return {
    kind: 'engine',
    name: `engine-${index}`,
    vm: `vm-${index}`,
    zone: 'z1',
    address: `127.0.0.1:${index}`,
    vmState: 'live',
    models: ['fit'],
    slots: 8,
    checksFencing: true,
  };
}

export function createRequest(overrides: Partial<GenerationRequest> = {}): GenerationRequest {
  return {
    requestId: 'resp_1',
    organisation: {} as GenerationRequest['organisation'],
    model: 'fit',
    messages: [{ role: 'user', content: 'Which size?' }],
    maxOutputTokens: 40,
    stop: [],
    signal: new AbortController().signal,
    ...overrides,
  };
}

async function isGivenUp(silence: AttemptSilence): Promise<boolean> {
  return (await silence.canGiveUp()) && silence.takeOver();
}

async function* runFakeAttempt(
  attempt: Attempt,
  fault: Fault,
  openSilence: () => AttemptSilence,
): AsyncGenerator<readonly EngineEvent[], AttemptResult, void> {
  if (fault.kind === 'busy') return { kind: 'busy', retryAfterSeconds: 3 };
  if (fault.kind === 'refused') {
    return { kind: 'lost', cause: 'refused', message: 'refused', mayHaveRun: false };
  }
  const [first, ...rest] = listEvents(attempt.tokenIds ?? PROMPT_IDS, attempt.maxTokens);
  const events = [{ ...first!, promptTokenIds: attempt.tokenIds ?? PROMPT_IDS }, ...rest];
  for (const [index, event] of events.entries()) {
    if (fault.kind === 'lost' && index >= fault.afterEvents) break;
    const isSilent = fault.kind === 'silent' && index === fault.afterEvents;
    if (isSilent && (await isGivenUp(openSilence()))) {
      return { kind: 'lost', cause: 'stalled', message: 'silent', mayHaveRun: true };
    }
    yield [event];
  }
  if (fault.kind === 'lost') {
    return { kind: 'lost', cause: 'reset', message: 'reset', mayHaveRun: true };
  }
  return { kind: 'finished', finishReason: 'length' };
}

/** Runs a request on engines of which the first ones have the given faults, one each. */
export async function runRequest(
  request: GenerationRequest,
  faults: readonly Fault[],
  engines = faults.length + 1,
  overrides: Partial<GenerationDependencies> = {},
): Promise<Run> {
  const attempts: Attempt[] = [];
  const journal: Journal = { recordDecision: () => undefined, explainRequest: () => undefined };
  const dependencies: GenerationDependencies = {
    chooseTarget() {
      if (attempts.length >= engines) return { kind: 'none', reason: 'none', retryAfterSeconds: 2 };
      return { kind: 'target', target: createTarget(attempts.length), reason: 'test' };
    },
    runAttempt(attempt, openSilence) {
      attempts.push(attempt);
      const fault = faults[attempts.length - 1] ?? { kind: 'none' };
      return runFakeAttempt(attempt, fault, openSilence);
    },
    cancelAttempt: () => undefined,
    takeRetry: () => true,
    openSilence: () => ({ findSuccessor: async () => undefined }),
    waitForStart: async () => undefined,
    journal,
    onLost: () => undefined,
    onKept: () => undefined,
    onBusy: () => undefined,
    onResumed: () => undefined,
    getNowMs: () => 0,
    ...overrides,
  };
  const batches: TokenBatch[] = [];
  const generation = Generations.runGeneration(request, model, dependencies);
  for (;;) {
    const next = await generation.next();
    if (next.done) return createRun(batches, next.value, attempts);
    batches.push(next.value);
  }
}

function createRun(
  batches: readonly TokenBatch[],
  outcome: GenerationOutcome,
  attempts: readonly Attempt[],
): Run {
  const text = batches.map((batch) => batch.text).join('');
  const tokenCount = batches.reduce((sum, batch) => sum + batch.tokenCount, 0);
  return { text, tokenCount, outcome, attempts };
}
