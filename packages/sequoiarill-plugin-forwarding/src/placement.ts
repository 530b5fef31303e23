/** Asks the decisions for the target of one send. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardRequest } from './forwardRequest';
import type { ForwardingParts } from './parts';

export interface PlacementQuestion {
  readonly request: ForwardRequest;
  /** Identities of targets that must not be chosen while others are there. */
  readonly excluded: ReadonlySet<string>;
  readonly purpose: 'first' | 'continuation';
}

export function chooseTarget(
  parts: ForwardingParts,
  question: PlacementQuestion,
): ForwardingTarget | undefined {
  const all = parts.directory.listTargets(question.request.service);
  const ready = all.filter((target) => target.state === 'ready');
  const fresh = ready.filter((target) => !question.excluded.has(target.id));
  return pickTarget(parts, fresh, question) ?? pickTarget(parts, ready, question);
}

/** Where all candidates are under suspicion, one of them is still better than nothing. */
function pickTarget(
  parts: ForwardingParts,
  candidates: readonly ForwardingTarget[],
  question: PlacementQuestion,
): ForwardingTarget | undefined {
  if (candidates.length === 0) return undefined;
  const { request, purpose } = question;
  const views = candidates.map(parts.book.buildView);
  const choiceRequest = {
    zone: parts.zone,
    prefixKeys: [],
    nowMs: parts.clock.getNowMs(),
    excluded: new Set<string>(),
    purpose,
    promptTokens: request.promptTokens,
  };
  const choice = parts.chooser.chooseTarget({ ...choiceRequest, candidates: views });
  if (choice.kind === 'target') return candidates.find(({ id }) => id === choice.name);
  const lenient = views
    .filter(({ state }) => state !== 'leaving')
    .map((view) => ({ ...view, state: 'healthy' as const }));
  const second = parts.chooser.chooseTarget({ ...choiceRequest, candidates: lenient });
  return second.kind === 'target' ? candidates.find(({ id }) => id === second.name) : undefined;
}
