import { after, describe, it } from 'node:test';

import { expect } from 'earl';

import * as Calls from './calls';
import * as Fakes from './fakes';

const MAX_BODY_BYTES = 4_096;
const started = Fakes.startRouter({ maxBodyBytes: MAX_BODY_BYTES });
after(async () => (await started).stop());

const CHAT = '/v1/chat/completions';
const RESPONSES = '/v1/responses';
const userMessage = { role: 'user', content: 'x' };
const chatBody = { model: 'advisor', messages: [userMessage] };
const responseBody = { model: 'advisor', input: 'x' };
const imagePart = { type: 'image_url', image_url: { url: 'x' } };

/** Path, body and the expected error: status, code, parameter. */
const INVALID_REQUESTS: readonly (readonly [string, unknown, readonly unknown[]])[] = [
  [CHAT, '{"model":', [400, 'invalid_json', null]],
  [CHAT, '[]', [400, 'invalid_value', null]],
  [CHAT, '', [400, 'invalid_json', null]],
  [CHAT, { messages: [userMessage] }, [400, 'invalid_value', 'model']],
  [CHAT, { ...chatBody, model: 'none' }, [404, 'model_not_found', 'model']],
  [CHAT, { ...chatBody, model: 'hidden' }, [404, 'model_not_found', 'model']],
  [CHAT, { ...chatBody, messages: [] }, [400, 'invalid_value', 'messages']],
  [
    CHAT,
    { ...chatBody, messages: [{ role: 'tool', content: 'x' }] },
    [400, 'invalid_value', 'messages[0].role'],
  ],
  [
    CHAT,
    { ...chatBody, messages: [userMessage, { role: 'user', content: [imagePart] }] },
    [400, 'invalid_value', 'messages[1].content'],
  ],
  [CHAT, { ...chatBody, temperature: 3 }, [400, 'invalid_value', 'temperature']],
  [CHAT, { ...chatBody, max_tokens: 0 }, [400, 'invalid_value', 'max_tokens']],
  [CHAT, { ...chatBody, stop: ['a', 'b', 'c', 'd', 'e'] }, [400, 'invalid_value', 'stop']],
  [CHAT, { ...chatBody, stop: '' }, [400, 'invalid_value', 'stop']],
  [CHAT, { ...chatBody, n: 2 }, [400, 'unsupported_parameter', 'n']],
  [CHAT, { ...chatBody, logprobs: true }, [400, 'unsupported_parameter', 'logprobs']],
  [CHAT, { ...chatBody, tools: [{ type: 'function' }] }, [400, 'unsupported_parameter', 'tools']],
  [
    CHAT,
    { ...chatBody, response_format: { type: 'json_object' } },
    [400, 'unsupported_parameter', 'response_format.type'],
  ],
  [CHAT, { ...chatBody, grammar: 'x' }, [400, 'unsupported_parameter', 'grammar']],
  [RESPONSES, { model: 'advisor' }, [400, 'invalid_value', 'input']],
  [RESPONSES, { ...responseBody, stop: 'x' }, [400, 'unsupported_parameter', 'stop']],
  [RESPONSES, { ...responseBody, background: true }, [400, 'unsupported_parameter', 'background']],
  [
    RESPONSES,
    { ...responseBody, previous_response_id: 'resp_1' },
    [400, 'unsupported_parameter', 'previous_response_id'],
  ],
  [
    RESPONSES,
    { ...responseBody, input: [{ role: 'user', content: [{ type: 'input_image' }] }] },
    [400, 'invalid_value', 'input[0].content'],
  ],
  [RESPONSES, { ...responseBody, input: 'x'.repeat(5_000) }, [413, 'body_too_large', null]],
];

describe('invalid input', () => {
  for (const [path, body, error] of INVALID_REQUESTS) {
    const shortBody = JSON.stringify(body).slice(0, 80);
    it(`is refused with its code and parameter: ${path} ${shortBody}`, async () => {
      const { url } = await started;
      const answer = await Calls.callOnce(url + path, { method: 'POST', body });
      expect(Calls.getError(answer)).toEqual(error);
      expect(/^(chatcmpl|resp)_/.test(String(answer.headers['x-request-id']))).toEqual(true);
    });
  }

  it('is refused when a chunked body exceeds the size limit', async () => {
    const { url } = await started;
    const headers = { 'transfer-encoding': 'chunked' };
    const body = { ...chatBody, user: 'x'.repeat(5_000) };
    const answer = await Calls.callOnce(url + CHAT, { method: 'POST', headers, body });
    expect(Calls.getError(answer)).toEqual([413, 'body_too_large', null]);
  });

  it('does not include unsupported parameters whose value has no effect', async () => {
    const { url } = await started;
    const body = {
      ...chatBody,
      n: 1,
      logprobs: false,
      tools: [],
      response_format: { type: 'text' },
      stop: null,
      metadata: { shop: 'a' },
      user: 'u',
    };
    const answer = await Calls.callOnce(url + CHAT, { method: 'POST', body });
    expect(answer.status).toEqual(200);
  });
});

describe('an invalid key, path or method', () => {
  for (const key of ['', 'sqr_k1_wrong', 'sqr_none_x', 'sqr_k1', 'x', 'sqr_k2_shop-secret']) {
    it(`is refused: key "${key}"`, async () => {
      const { url } = await started;
      const answer = await Calls.callOnce(`${url}/v1/models`, { key });
      expect(Calls.getError(answer)).toEqual([401, 'invalid_api_key', null]);
      expect(answer.headers['www-authenticate']).toEqual('Bearer');
    });
  }

  it('is refused once the configuration no longer has the key', async (test) => {
    // A leaked key is removed from the configuration. It must be refused at once, even by a router
    // that accepted it before.
    const router = await Fakes.startRouter();
    test.after(router.stop);
    const before = await Calls.callOnce(`${router.url}/v1/models`);
    router.setConfiguration({ ...Fakes.createConfiguration(), keysById: new Map() });
    const afterwards = await Calls.callOnce(`${router.url}/v1/models`);
    expect([before.status, afterwards.status]).toEqual([200, 401]);
  });

  it('is refused with the list of allowed methods', async () => {
    const { url } = await started;
    const answer = await Calls.callOnce(url + CHAT, { method: 'DELETE' });
    expect(Calls.getError(answer)).toEqual([405, 'method_not_allowed', null]);
    expect(answer.headers.allow).toEqual('POST');
  });

  for (const path of ['/', '/v1', '/v1/embeddings', '/callers/listAliases', '/v1/models/a/b']) {
    it(`is refused: path ${path}`, async () => {
      const { url } = await started;
      const answer = await Calls.callOnce(url + path);
      expect(Calls.getError(answer)).toEqual([404, 'unknown_path', null]);
      expect(/^req_/.test(String(answer.headers['x-request-id']))).toEqual(true);
    });
  }

  it('is refused when the path cannot be decoded', async () => {
    const { url } = await started;
    const answer = await Calls.callOnce(`${url}/v1/models/%E0%A4%A`);
    expect(Calls.getError(answer)).toEqual([400, 'malformed_request', null]);
  });
});
