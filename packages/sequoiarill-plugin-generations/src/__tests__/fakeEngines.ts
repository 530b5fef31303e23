/** Engines without sockets: the next token depends only on the ids so far, as with a fixed seed. */
import type {
  EngineTarget,
  GenerationOutcome,
  GenerationRequest,
  Journal,
  Model,
  TokenBatch,
} from '@sequoiarill/types';

import type { EngineEvent } from '../answer';
import type { AttemptEnd } from '../attemptEnds';
import * as Generations from '../generation';
import type { AttemptOrder, GenerationParts } from '../generation';

export const PROMPT_IDS: readonly number[] = [11, 12, 13];
/** Pieces of text; the two halves of a character that needs two tokens follow each other. */
const PIECES = [' size', ' fits', ' 4', '2', ' wide', '. ', 'ha', 'lf'];
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
  return id === TRAIL_ID ? 'ð' : PIECES[id]!;
}

/** The events of an undisturbed run from the given ids. */
export function listEvents(ids: readonly number[], maxTokens: number): readonly EngineEvent[] {
  const all = [...ids];
  const events: EngineEvent[] = [];
  for (let count = 0; count < maxTokens; count += 1) {
    const id = computeNextId(all);
    // A continuation that starts inside a character gives it wrong, as real engines do.
    const isCut = id === TRAIL_ID && count === 0;
    all.push(id);
    events.push({ text: isCut ? '\uFFFD' : getText(id), tokenIds: [id] });
  }
  return events;
}

export type Fault =
  | { readonly kind: 'none' }
  | { readonly kind: 'lost'; readonly afterEvents: number }
  | { readonly kind: 'refused' }
  | { readonly kind: 'busy' };

export interface Run {
  readonly text: string;
  readonly tokenCount: number;
  readonly outcome: GenerationOutcome;
  readonly orders: readonly AttemptOrder[];
}

function createTarget(index: number): EngineTarget {
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

export function createRequest(parts: Partial<GenerationRequest> = {}): GenerationRequest {
  return {
    requestId: 'resp_1',
    organisation: {} as GenerationRequest['organisation'],
    model: 'fit',
    messages: [{ role: 'user', content: 'Which size?' }],
    maxOutputTokens: 40,
    stop: [],
    signal: new AbortController().signal,
    ...parts,
  };
}

async function* runFakeAttempt(
  order: AttemptOrder,
  fault: Fault,
): AsyncGenerator<readonly EngineEvent[], AttemptEnd, void> {
  if (fault.kind === 'busy') return { kind: 'busy', retryAfterSeconds: 3 };
  if (fault.kind === 'refused') {
    return { kind: 'lost', cause: 'refused', message: 'refused', mayHaveRun: false };
  }
  const [first, ...rest] = listEvents(order.tokenIds ?? PROMPT_IDS, order.maxTokens);
  const events = [{ ...first!, promptTokenIds: order.tokenIds ?? PROMPT_IDS }, ...rest];
  for (const [index, event] of events.entries()) {
    if (fault.kind === 'lost' && index >= fault.afterEvents) break;
    yield [event];
  }
  if (fault.kind === 'lost') {
    return { kind: 'lost', cause: 'reset', message: 'reset', mayHaveRun: true };
  }
  return { kind: 'finished', finishReason: 'length' };
}

/** Runs a request against engines of which the first ones have the given faults. */
export async function runRequest(
  request: GenerationRequest,
  faults: readonly Fault[],
  engines = faults.length + 1,
): Promise<Run> {
  const orders: AttemptOrder[] = [];
  const journal: Journal = { recordDecision: () => undefined, explainRequest: () => undefined };
  const parts: GenerationParts = {
    chooseTarget() {
      if (orders.length >= engines) return { kind: 'none', reason: 'none', retryAfterSeconds: 2 };
      return { kind: 'target', target: createTarget(orders.length), reason: 'test' };
    },
    runAttempt(order) {
      orders.push(order);
      return runFakeAttempt(order, faults[orders.length - 1] ?? { kind: 'none' });
    },
    cancelAttempt: () => undefined,
    takeRetry: () => true,
    waitForStart: async () => undefined,
    journal,
    onLost: () => undefined,
    onBusy: () => undefined,
    onResumed: () => undefined,
    getNowMs: () => 0,
  };
  const batches: TokenBatch[] = [];
  const generation = Generations.runGeneration(request, model, parts);
  for (;;) {
    const next = await generation.next();
    if (next.done) return createRun(batches, next.value, orders);
    batches.push(next.value);
  }
}

function createRun(
  batches: readonly TokenBatch[],
  outcome: GenerationOutcome,
  orders: readonly AttemptOrder[],
): Run {
  const text = batches.map((batch) => batch.text).join('');
  const tokenCount = batches.reduce((sum, batch) => sum + batch.tokenCount, 0);
  return { text, tokenCount, outcome, orders };
}
