/** Simulates streamed answers in virtual time. */
import * as StreamAnswers from '../streamAnswer';
import type { StreamOutcome } from '../streamPlan';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';

export const END: Script[number][1] = { kind: 'end' };

export interface SimulatedStream {
  readonly outcome: StreamOutcome | undefined;
  readonly text: string;
  /** Longest time between two events. */
  readonly maxGapMs: number;
}

/** Runs one request to its end in virtual time. */
export async function simulateStream(
  fake: FakeDependencies,
  limitMs = 30_000,
  routeChange: Parameters<typeof Fakes.createRoute>[0] = {},
): Promise<SimulatedStream> {
  const request = Fakes.createRequest(Fakes.createRoute(routeChange));
  const answer = StreamAnswers.runStreamAnswer(fake.dependencies, request);
  const pieces: string[] = [];
  let outcome: StreamOutcome | undefined;
  let lastMs: number | undefined;
  let maxGapMs = 0;
  const reading = (async () => {
    for (;;) {
      const step = await answer.next();
      if (step.done === true) {
        outcome = step.value;
        return;
      }
      if (step.value.kind === 'events') {
        const nowMs = fake.clock.getNowMs();
        maxGapMs = Math.max(maxGapMs, nowMs - (lastMs ?? nowMs));
        lastMs = nowMs;
        pieces.push(step.value.bytes.toString());
      }
    }
  })();
  await fake.clock.runFor(limitMs);
  if (outcome !== undefined) await reading;
  return { outcome, text: pieces.join(''), maxGapMs };
}

export function formatAll(count: number): string {
  return Array.from({ length: count }, (_one, index) => index + 1)
    .map((number) => `id: ${number}\ndata: ${number}\n\n`)
    .join('');
}

/** Script of a run with events `from` to `to`. */
export function createRun(from: number, to: number): Script {
  const events = Fakes.createEvents(from, to, 30, 60);
  return [[50, Fakes.createHead(200)], ...events, [60 + (to - from) * 30 + 1, END]];
}

export function createFromHeader(headers: Readonly<Record<string, string>>): number {
  return Number(headers.last ?? 0) + 1;
}
