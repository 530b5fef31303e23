/** Callers of the matrix tests: whole answers, held requests, and responses that are resumed. */
import * as Demo from '@sequoiarill/demo';
import * as Undici from 'undici';

import * as EventStreams from '../eventStream';
import * as Answers from '../answers';
import type { ReadAnswer } from '../answers';
import type { World } from './world';

/** Tokens of an answer in the matrix. */
export const MAX_TOKENS = 40;
export const PROMPT = 'Which size fits a narrow foot with a high instep?';

export interface CallOptions {
  readonly router?: number;
  readonly prompt?: string;
  readonly maxTokens?: number;
  readonly dispatcher?: Undici.Dispatcher;
  readonly onText?: (text: string, count: number, requestId: string) => void;
}

/** Streams one chat completion to its end. */
export async function readAnswer(world: World, options: CallOptions = {}): Promise<ReadAnswer> {
  return Answers.readAnswer({
    url: world.routers[options.router ?? 0]!.callers,
    apiKey: world.apiKey,
    prompt: options.prompt ?? PROMPT,
    maxTokens: options.maxTokens ?? MAX_TOKENS,
    ...(options.onText && { onText: options.onText }),
    ...(options.dispatcher && { dispatcher: options.dispatcher }),
  });
}

/** Sends the first half of each body, and the rest once `released` resolves. */
export function createHoldingDispatcher(
  agent: Undici.Agent,
  released: Promise<void>,
): Undici.Dispatcher {
  async function* splitBody(text: string): AsyncGenerator<Buffer, void, void> {
    const half = Math.floor(text.length / 2);
    yield Buffer.from(text.slice(0, half));
    await released;
    yield Buffer.from(text.slice(half));
  }
  return agent.compose((dispatch) => (options, handler) => {
    const body = splitBody(
      String(options.body),
    ) as unknown as Undici.Dispatcher.DispatchOptions['body'];
    return dispatch({ ...options, body: body! }, handler);
  });
}

export interface ResponsePart {
  readonly responseId: string;
  readonly text: string;
  readonly lastSequence: number;
  /** Of the last event, if the response ended. */
  readonly status: string | undefined;
  readonly completionTokens: number | undefined;
  readonly httpStatus: number;
}

interface ResponseEvent {
  readonly type: string;
  readonly delta?: string;
  readonly sequence_number: number;
  readonly response?: {
    readonly id: string;
    readonly status: string;
    readonly usage?: { readonly output_tokens: number } | null;
  };
}

export interface ResponseOptions {
  readonly router?: number;
  /** Leaves after so many pieces of text. */
  readonly leaveAfter?: number;
  /** Resumes after the event of this part. */
  readonly after?: ResponsePart;
  /** Stops reading after so many pieces of text, until `resumed` resolves. */
  readonly pauseAfter?: number;
  readonly resumed?: Promise<void>;
  readonly maxTokens?: number;
  /** Of its own, closed at the end, unless given. */
  readonly agent?: Undici.Agent;
}

/** Opens a response, or resumes one, and reads until it ends or the caller leaves. */
export async function readResponse(world: World, options: ResponseOptions): Promise<ResponsePart> {
  const agent = options.agent ?? new Undici.Agent();
  const answer = await sendResponseRequest(world, options, agent);
  let part: ResponsePart = {
    responseId: options.after?.responseId ?? '',
    text: '',
    lastSequence: options.after?.lastSequence ?? -1,
    status: undefined,
    completionTokens: undefined,
    httpStatus: answer.statusCode,
  };
  let pieces = 0;
  try {
    for await (const event of EventStreams.readEventStream<ResponseEvent>(answer.body)) {
      part = mergeEvent(part, event);
      if (event.delta !== undefined) pieces += 1;
      if (pieces === options.leaveAfter) break;
      if (pieces === options.pauseAfter) await options.resumed;
    }
  } finally {
    await agent.destroy();
  }
  return part;
}

async function sendResponseRequest(
  world: World,
  options: ResponseOptions,
  agent: Undici.Agent,
): Promise<Undici.Dispatcher.ResponseData> {
  const url = `${world.routers[options.router ?? 0]!.callers}/v1/responses`;
  const headers = { authorization: `Bearer ${world.apiKey}`, 'content-type': 'application/json' };
  const { after } = options;
  if (after !== undefined) {
    const query = `stream=true&starting_after=${after.lastSequence}`;
    return Undici.request(`${url}/${after.responseId}?${query}`, { headers, dispatcher: agent });
  }
  const body = {
    model: Demo.MODEL,
    input: PROMPT,
    max_output_tokens: options.maxTokens ?? MAX_TOKENS,
    stream: true,
  };
  const text = JSON.stringify(body);
  return Undici.request(url, { method: 'POST', headers, body: text, dispatcher: agent });
}

function mergeEvent(part: ResponsePart, event: ResponseEvent): ResponsePart {
  const { response } = event;
  const hasEnded = response !== undefined && response.status !== 'in_progress';
  return {
    ...part,
    responseId: response?.id ?? part.responseId,
    text: part.text + (event.type === 'response.output_text.delta' ? (event.delta ?? '') : ''),
    lastSequence: event.sequence_number,
    status: hasEnded ? response.status : part.status,
    completionTokens: response?.usage?.output_tokens ?? part.completionTokens,
  };
}
