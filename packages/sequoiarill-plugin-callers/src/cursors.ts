/**
 * Signed positions in the event stream of a response, sent as SSE `id:` and returned by the caller
 * as `Last-Event-ID`. The signature covers the full payload, so a caller can forge neither the
 * response, nor the organisation, nor the position.
 */
import * as Crypto from 'node:crypto';

import * as Zod from 'zod';

/** Position of the generation at an event; sufficient for another router to continue from it. */
export interface EnginePosition {
  readonly generation: number;
  /** Output tokens that the caller has received, including those of this event. */
  readonly tokenOffset: number;
  readonly target: string;
  /** Fencing number. */
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
  /** Returns `undefined` for any text that was not signed with this key. */
  readonly verifyCursor: (text: string) => Cursor | undefined;
}

const KEY_BYTES = 32;
/** 132 bits of the digest in base64url: not guessable, but short, since each event carries them. */
const MAC_LENGTH = 22;
/** Incremented when the payload changes in a way that older routers must refuse. */
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

/** `key` is hexadecimal; without one, cursors are valid in this process only. */
export function createCursorSigner(key: string | undefined): CursorSigner {
  // A buffer, since each event is signed and signing with a key object costs 50% more.
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

/** The payload has a valid signature, but may come from a newer version of the router. */
function decodePayload(json: string): Cursor | undefined {
  const result = payloadSchema.safeParse(JSON.parse(json));
  if (!result.success) return undefined;
  const { r, o, s, e } = result.data;
  const cursor: Cursor = { requestId: r, organisation: o, sequence: s };
  if (e === undefined) return cursor;
  const [generation, tokenOffset, target, fence] = e;
  return { ...cursor, position: { generation, tokenOffset, target, fence } };
}
