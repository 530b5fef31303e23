/** Callers of the matrix tests: complete answers, delayed request bodies, and resumed responses. */
import * as Demo from '@sequoiarill/demo';
import * as Undici from 'undici';

import * as EventStreams from '../eventStream';
import * as Answers from '../answers';
import type { ReadAnswer } from '../answers';
import type { Deployment } from './deployment';

/** Number of tokens of an answer in the matrix. */
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
export async function readAnswer(
  deployment: Deployment,
  options: CallOptions = {},
): Promise<ReadAnswer> {
  return Answers.readAnswer({
    url: deployment.routers[options.router ?? 0]!.callers,
    apiKey: deployment.apiKey,
    prompt: options.prompt ?? PROMPT,
    maxTokens: options.maxTokens ?? MAX_TOKENS,
    ...(options.onText && { onText: options.onText }),
    ...(options.dispatcher && { dispatcher: options.dispatcher }),
  });
}

/** Sends the first half of each body at once, and the second half when `released` resolves. */
export function createDelayingDispatcher(
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
  /** Status in the last event, if the response has ended. */
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
  /** Disconnects after this number of pieces of text. */
  readonly disconnectAfter?: number;
  /** Resumes the response after the last event of this part. */
  readonly resumeFrom?: ResponsePart;
  /** Stops reading after this number of pieces of text, until `resumed` resolves. */
  readonly pauseAfter?: number;
  readonly resumed?: Promise<void>;
  readonly maxTokens?: number;
  /** Destroyed at the end; by default the response gets a new agent. */
  readonly agent?: Undici.Agent;
}

/** Opens or resumes a response, and reads until it ends or the caller disconnects. */
export async function readResponse(
  deployment: Deployment,
  options: ResponseOptions,
): Promise<ResponsePart> {
  const agent = options.agent ?? new Undici.Agent();
  const answer = await sendResponseRequest(deployment, options, agent);
  let part: ResponsePart = {
    responseId: options.resumeFrom?.responseId ?? '',
    text: '',
    lastSequence: options.resumeFrom?.lastSequence ?? -1,
    status: undefined,
    completionTokens: undefined,
    httpStatus: answer.statusCode,
  };
  let pieces = 0;
  try {
    for await (const event of EventStreams.readEventStream<ResponseEvent>(answer.body)) {
      part = mergeEvent(part, event);
      if (event.delta !== undefined) pieces += 1;
      if (pieces === options.disconnectAfter) break;
      if (pieces === options.pauseAfter) await options.resumed;
    }
  } finally {
    await agent.destroy();
  }
  return part;
}

async function sendResponseRequest(
  deployment: Deployment,
  options: ResponseOptions,
  agent: Undici.Agent,
): Promise<Undici.Dispatcher.ResponseData> {
  const url = `${deployment.routers[options.router ?? 0]!.callers}/v1/responses`;
  const headers = {
    authorization: `Bearer ${deployment.apiKey}`,
    'content-type': 'application/json',
  };
  const { resumeFrom } = options;
  if (resumeFrom !== undefined) {
    const query = `stream=true&starting_after=${resumeFrom.lastSequence}`;
    return Undici.request(`${url}/${resumeFrom.responseId}?${query}`, {
      headers,
      dispatcher: agent,
    });
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
