/** Headers between two routers when one sends a request through the other; never sent to callers or targets. */
import type { ForwardingTarget, TargetBuild } from '@sequoiarill/types';

import type { AnswerHead } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import * as Headers from '../front/headers';
import * as Checks from '../answers/answerChecks';

/** Why a router does not take a request of another router's caller; the request has not run. */
export type RelayRefusalCause =
  /** It reaches no target of the service itself. */
  | 'unreachable'
  /** It is about to stop. */
  | 'draining'
  /** Its configuration is older than the one by which the request was accepted. */
  | 'outdated'
  /** It reaches targets, and none of them takes the request. */
  | 'refused';

const CAUSES: readonly RelayRefusalCause[] = ['unreachable', 'draining', 'outdated', 'refused'];

export const RELAY_HEADERS = {
  /** Request: the oldest configuration version that may decide; answer: the version that decided. */
  version: 'sequoiarill-relay-version',
  /** Request: number of targets that it may still be sent to. */
  targetsLeft: 'sequoiarill-relay-targets-left',
  /** Request: 1 if a target may have run it, 0 otherwise. */
  hasRun: 'sequoiarill-relay-has-run',
  /** Request: the incarnation of the only target that it may be sent to, percent-encoded. */
  target: 'sequoiarill-relay-target',
  /** Request: incarnations of targets that are about to stop, `ID@START` with ids percent-encoded, joined by commas. */
  leaving: 'sequoiarill-relay-leaving',
  /** Models of the target, percent-encoded: in an answer those that produced it, in a request those required. */
  models: 'sequoiarill-relay-models',
  /** The same for the software version of the target. */
  targetVersion: 'sequoiarill-relay-target-version',
  /** Answer: a `RelayRefusalCause`. */
  refused: 'sequoiarill-relay-refused',
  /** Answer: how often the router has sent the request to a target. */
  sends: 'sequoiarill-relay-sends',
  /** Answer: `close` where the target's answer ended with its connection. */
  framing: 'sequoiarill-relay-framing',
} as const;

const NAMES: ReadonlySet<string> = new Set(Object.values(RELAY_HEADERS));
const CLOSE_FRAMING = 'close';

export function isRelayHeader(name: string): boolean {
  return NAMES.has(name.toLowerCase());
}

export type Incarnation = Pick<ForwardingTarget, 'id' | 'startedAtUnixMs'>;

/** Keeps the header to a few kilobytes; targets of one service seldom leave all at once. */
const MAX_LEAVING = 32;

/** What one router requires of another that is to run its caller's request. */
export interface RelayTerms {
  readonly version: number;
  readonly targetsLeft: number;
  /** Whether a target may have run it; undefined where a router of an earlier build does not say. */
  readonly hasRun?: boolean;
  /** Build that must go on with a stream; undefined where none has begun, or none is known. */
  readonly build?: TargetBuild;
  /** The only target that the request may be sent to; undefined for any. */
  readonly target?: string;
  /** Targets of the service that the sender knows to be about to stop. */
  readonly leaving?: readonly Incarnation[];
}

export function encodeTerms(terms: RelayTerms): readonly RawHeader[] {
  return [
    [RELAY_HEADERS.version, String(terms.version)],
    [RELAY_HEADERS.targetsLeft, String(terms.targetsLeft)],
    ...(terms.hasRun === undefined
      ? []
      : [[RELAY_HEADERS.hasRun, String(Number(terms.hasRun))] as const]),
    ...encodeBuild(terms.build),
    ...encodeText(RELAY_HEADERS.target, terms.target),
    ...encodeLeaving(terms.leaving ?? []),
  ];
}

function encodeLeaving(leaving: readonly Incarnation[]): readonly RawHeader[] {
  if (leaving.length === 0) return [];
  const incarnations = leaving
    .slice(-MAX_LEAVING)
    .map(({ id, startedAtUnixMs }) => `${encodeURIComponent(id)}@${startedAtUnixMs}`);
  return [[RELAY_HEADERS.leaving, incarnations.join(',')]];
}

function decodeLeaving(text: string | undefined): readonly Incarnation[] {
  const items = text === undefined ? [] : text.split(',', MAX_LEAVING);
  return items.flatMap((item) => {
    const [name, start] = item.split('@');
    const id = decodeText(name);
    const startedAtUnixMs = parseCount(start);
    return id === undefined || startedAtUnixMs === undefined ? [] : [{ id, startedAtUnixMs }];
  });
}

function encodeBuild(build: TargetBuild | undefined): readonly RawHeader[] {
  if (build === undefined) return [];
  return [
    ...encodeText(RELAY_HEADERS.models, build.models),
    ...encodeText(RELAY_HEADERS.targetVersion, build.version),
  ];
}

/** Undefined where one of them is missing: routers of earlier builds name the models only. */
function decodeBuild(
  models: string | undefined,
  version: string | undefined,
): TargetBuild | undefined {
  const build = { models: decodeText(models), version: decodeText(version) };
  if (build.models === undefined || build.version === undefined) return undefined;
  return { models: build.models, version: build.version };
}

function encodeText(name: string, text: string | undefined): readonly RawHeader[] {
  return text === undefined ? [] : [[name, encodeURIComponent(text)]];
}

/** Undefined where the headers are not those of another router. */
export function decodeTerms(headers: readonly RawHeader[]): RelayTerms | undefined {
  const version = parseCount(Headers.findSingleValue(headers, RELAY_HEADERS.version));
  const targetsLeft = parseCount(Headers.findSingleValue(headers, RELAY_HEADERS.targetsLeft));
  const runs = parseCount(Headers.findSingleValue(headers, RELAY_HEADERS.hasRun));
  const build = decodeBuild(
    Headers.findSingleValue(headers, RELAY_HEADERS.models),
    Headers.findSingleValue(headers, RELAY_HEADERS.targetVersion),
  );
  const target = decodeText(Headers.findSingleValue(headers, RELAY_HEADERS.target));
  const leaving = decodeLeaving(Headers.findSingleValue(headers, RELAY_HEADERS.leaving));
  if (version === undefined || targetsLeft === undefined) return undefined;
  return {
    version,
    targetsLeft,
    ...(runs === undefined ? {} : { hasRun: runs > 0 }),
    ...(build === undefined ? {} : { build }),
    ...(target === undefined ? {} : { target }),
    ...(leaving.length === 0 ? {} : { leaving }),
  };
}

function parseCount(text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

function decodeText(text: string | undefined): string | undefined {
  if (text === undefined) return undefined;
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

/** Header of an answer that nothing follows, by which the router of the caller counts the targets reached. */
export function encodeSends(sends: number): RawHeader {
  return [RELAY_HEADERS.sends, String(sends)];
}

/** Headers that another router adds to the answer. */
export function encodeFraming(
  head: AnswerHead,
  build: TargetBuild | undefined,
): readonly RawHeader[] {
  return [
    ...(Checks.isCloseDelimited(head) ? [[RELAY_HEADERS.framing, CLOSE_FRAMING] as const] : []),
    ...encodeBuild(build),
  ];
}

/** `sends`: how often the other router has sent the request to a target; undefined where it does not say. */
export type RelayedHead =
  /** `head` as the target sent it. */
  | {
      readonly kind: 'answer';
      readonly head: AnswerHead;
      readonly version: number;
      readonly build?: TargetBuild;
      readonly sends?: number;
    }
  | {
      readonly kind: 'refused';
      readonly cause: RelayRefusalCause;
      readonly retryAfterSeconds: number | undefined;
      readonly sends?: number;
    }
  /** Not an answer of another router, or one that leaves open whether the request has run. */
  | {
      readonly kind: 'invalid';
      readonly reason: string;
      readonly isTimeout: boolean;
      /** Whether a router has sent the head. */
      readonly isRouter: boolean;
      readonly sends?: number;
    };

const GATEWAY_TIMEOUT = 504;
const BAD_GATEWAY = 502;

export function decodeHead(
  head: AnswerHead,
  requestId: string,
  names: Readonly<{ requestId: string; signature: string }>,
): RelayedHead {
  const version = parseCount(Checks.getHeader(head, RELAY_HEADERS.version));
  if (version === undefined || Checks.getHeader(head, names.requestId) !== requestId) {
    return {
      kind: 'invalid',
      reason: 'not an answer of a router',
      isTimeout: false,
      isRouter: false,
    };
  }
  const sends = findSends(head);
  const cause = CAUSES.find((one) => one === Checks.getHeader(head, RELAY_HEADERS.refused));
  if (cause !== undefined) {
    const seconds = Number(Checks.getHeader(head, 'retry-after'));
    const retryAfterSeconds = seconds > 0 ? seconds : undefined;
    return { kind: 'refused', cause, retryAfterSeconds, ...sends };
  }
  const isSigned = Checks.getHeader(head, names.signature) !== undefined;
  const isUnknown = head.status === BAD_GATEWAY || head.status === GATEWAY_TIMEOUT;
  const isUndefined = !Checks.isDefined(head.status);
  if (isUndefined || (!isSigned && (isUnknown || Checks.isSuccess(head.status)))) {
    const reason = `status ${head.status} of a router`;
    const isTimeout = head.status === GATEWAY_TIMEOUT;
    return { kind: 'invalid', reason, isTimeout, isRouter: true, ...sends };
  }
  const build = decodeBuild(
    Checks.getHeader(head, RELAY_HEADERS.models),
    Checks.getHeader(head, RELAY_HEADERS.targetVersion),
  );
  const answer = { kind: 'answer', head: buildTargetHead(head), version, ...sends } as const;
  return build === undefined ? answer : { ...answer, build };
}

function findSends(head: AnswerHead): { readonly sends?: number } {
  const sends = parseCount(Checks.getHeader(head, RELAY_HEADERS.sends));
  return sends === undefined ? {} : { sends };
}

/** The head without the headers between routers, and framed like the target's answer. */
function buildTargetHead(head: AnswerHead): AnswerHead {
  const isCloseDelimited = Checks.getHeader(head, RELAY_HEADERS.framing) === CLOSE_FRAMING;
  const entries = Object.entries(head.headers).filter(
    ([name]) =>
      !isRelayHeader(name) &&
      !(isCloseDelimited && (name === 'content-length' || name === 'transfer-encoding')),
  );
  return { ...head, headers: Object.fromEntries(entries) };
}
