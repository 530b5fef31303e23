/**
 * Signed places in the event stream of a response, sent as SSE `id:` and sent back by the caller
 * as `Last-Event-ID`. The signature covers the whole payload, so a caller can make up neither a
 * response, nor an organisation, nor a place.
 */
import * as Crypto from 'node:crypto';

import * as Zod from 'zod';

/** Where the engines were at that event: enough for another router to go on from there. */
export interface EnginePosition {
  readonly generation: number;
  /** Output tokens that the caller has, this event's included. */
  readonly tokenOffset: number;
  readonly target: string;
  readonly fence: number;
}

export interface Cursor {
  readonly requestId: string;
  readonly organisation: string;
  readonly sequence: number;
  readonly position?: EnginePosition;
}

export interface CursorSigner {
  readonly signCursor: (cursor: Cursor) => string;
  /** `undefined` for anything this key did not sign. */
  readonly verifyCursor: (text: string) => Cursor | undefined;
}

const KEY_BYTES = 32;
/** 132 bits of the digest in base64url: they cannot be guessed, and each event carries them. */
const MAC_LENGTH = 22;
/** Raised when the payload changes in a way that older routers must refuse. */
const VERSION = 1;

const payloadSchema = Zod.strictObject({
  v: Zod.literal(VERSION),
  r: Zod.string(),
  o: Zod.string(),
  s: Zod.number().int().min(0),
  e: Zod.tuple([
    Zod.number().int(),
    Zod.number().int(),
    Zod.string(),
    Zod.number().int(),
  ]).optional(),
});

type Payload = Zod.infer<typeof payloadSchema>;

/** `key` is hexadecimal; without it, cursors hold for this process only. */
export function createCursorSigner(key: string | undefined): CursorSigner {
  // A buffer, not a key object: each event is signed, and a key object costs half as much again.
  const secret = key === undefined ? Crypto.randomBytes(KEY_BYTES) : Buffer.from(key, 'hex');

  function computeMac(encoded: string): string {
    const digest = Crypto.createHmac('sha256', secret).update(encoded).digest('base64url');
    return digest.slice(0, MAC_LENGTH);
  }

  return {
    signCursor(cursor) {
      const encoded = Buffer.from(JSON.stringify(encodePayload(cursor))).toString('base64url');
      return `${encoded}.${computeMac(encoded)}`;
    },
    verifyCursor(text) {
      const [encoded = '', mac = '', ...rest] = text.split('.');
      const given = Buffer.from(mac);
      const expected = Buffer.from(computeMac(encoded));
      if (rest.length > 0 || given.length !== expected.length) return undefined;
      if (!Crypto.timingSafeEqual(given, expected)) return undefined;
      return decodePayload(Buffer.from(encoded, 'base64url').toString('utf8'));
    },
  };
}

function encodePayload(cursor: Cursor): Payload {
  const { requestId, organisation, sequence, position } = cursor;
  const payload: Payload = { v: VERSION, r: requestId, o: organisation, s: sequence };
  if (position === undefined) return payload;
  const { generation, tokenOffset, target, fence } = position;
  return { ...payload, e: [generation, tokenOffset, target, fence] };
}

/** Signed by this key, but perhaps by a newer version of the program. */
function decodePayload(json: string): Cursor | undefined {
  const result = payloadSchema.safeParse(JSON.parse(json));
  if (!result.success) return undefined;
  const { r, o, s, e } = result.data;
  const cursor: Cursor = { requestId: r, organisation: o, sequence: s };
  if (e === undefined) return cursor;
  const [generation, tokenOffset, target, fence] = e;
  return { ...cursor, position: { generation, tokenOffset, target, fence } };
}
