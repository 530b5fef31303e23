/** Asks engines for their load, which also tells that they live. */
import type { Clock, EngineReport, ForwardingTarget, ForwardingWire } from '@sequoiarill/types';

import * as Checks from './answerChecks';
import type { AnswerHead } from './forwardRequest';
import type { TargetBook } from './targetBook';
import * as TargetCalls from './targetCall';
import type { TargetConnections } from './targetConnections';

export interface EngineProbes {
  /** Undefined when the engine does not answer in time. Several askers share one call. */
  readonly readReport: (
    target: ForwardingTarget,
    limitMs: number,
  ) => Promise<EngineReport | undefined>;
}

export interface EngineProbesOptions {
  readonly wire: ForwardingWire;
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly book: TargetBook;
  readonly connections: TargetConnections;
  /** Path of the health check of a service. */
  readonly getHealthPath: (service: string) => string;
}

/** An engine that has not answered by then counts as lost, milliseconds; most answer within five. */
const PROBE_LIMIT_MS = 250;
/** A report this young is as good as a new one, milliseconds: engines count every hundred. */
const FRESH_MS = 40;
const OK = 200;
const EMPTY = Buffer.alloc(0);

interface Answer {
  readonly head: AnswerHead;
  readonly text: string;
}

interface Fresh {
  readonly report: EngineReport;
  readonly atMs: number;
}

export function createEngineProbes(options: EngineProbesOptions): EngineProbes {
  const { wire, clock, book, connections } = options;
  const inProgress = new Map<string, Promise<EngineReport | undefined>>();
  const freshByTarget = new Map<string, Fresh>();

  async function callEngine(target: ForwardingTarget, path: string): Promise<Answer | undefined> {
    const call = TargetCalls.openCall({
      connection: connections.takeConnection(target),
      target,
      method: 'GET',
      path,
      headers: [],
      body: EMPTY,
    });
    const untilMs = clock.getNowMs() + PROBE_LIMIT_MS;
    const chunks: Buffer[] = [];
    let head: AnswerHead | undefined;
    for (;;) {
      const event = await call.readEvent(untilMs - clock.getNowMs());
      if (event.kind === 'head') head = event.head;
      else if (event.kind === 'data') chunks.push(event.chunk);
      else {
        call.cancel();
        if (event.kind !== 'end' || head === undefined) return undefined;
        return { head, text: Buffer.concat(chunks).toString('utf8') };
      }
    }
  }

  /**
   * Failure: an engine crashes and starts again as another life, and the directory does not know yet.
   * It answers reports like the one before, and refuses what is meant for that one: each such request
   * is a repeat, and after the crash of a zone they use up what repeats there are.
   */
  async function isSameLife(target: ForwardingTarget): Promise<boolean> {
    if (!book.isUnproved(target)) return true;
    const answer = await callEngine(target, options.getHealthPath(target.service));
    const id =
      answer === undefined ? undefined : Checks.getHeader(answer.head, wire.headers.targetId);
    if (id === target.id) book.recordProof(target);
    else if (id !== undefined) book.recordReplaced(target);
    return id === target.id;
  }

  async function readOnce(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const [answer, isKnown] = await Promise.all([
      callEngine(target, wire.reportPath),
      isSameLife(target),
    ]);
    if (answer === undefined) book.recordLoss(target);
    if (answer?.head.status !== OK || !isKnown) return undefined;
    return wire.decodeReport(answer.text);
  }

  async function runProbe(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const report = await readOnce(target);
    inProgress.delete(target.id);
    if (report === undefined) {
      freshByTarget.delete(target.id);
      return undefined;
    }
    book.recordReport(target, report);
    book.recordSign(target);
    freshByTarget.set(target.id, { report, atMs: clock.getNowMs() });
    return report;
  }

  function startProbe(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const known = inProgress.get(target.id);
    if (known !== undefined) return known;
    const started = runProbe(target);
    inProgress.set(target.id, started);
    return started;
  }

  return {
    async readReport(target, limitMs) {
      const fresh = freshByTarget.get(target.id);
      if (fresh !== undefined && clock.getNowMs() - fresh.atMs <= FRESH_MS) return fresh.report;
      let timer: NodeJS.Timeout | undefined;
      const late = new Promise<undefined>((resolve) => {
        timer = setTimeout(() => resolve(undefined), limitMs);
      });
      const report = await Promise.race([startProbe(target), late]);
      clearTimeout(timer);
      return report;
    },
  };
}
