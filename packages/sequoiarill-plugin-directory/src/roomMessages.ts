/** Messages between routers about room at engines, validated on both sides. */
import type { RoomFacts, RoomMessage } from '@sequoiarill/types';
import * as Zod from 'zod';

/** Limits of one message. */
export const MAX_ORGANISATIONS = 32;
export const MAX_SPEEDS = 64;
const MAX_SERVICES = 50;
const MAX_LEVELS = 3;
const MAX_NAME_LENGTH = 200;
/** Far above the work of the largest fleet, in output tokens per second. */
const MAX_WORK = 1e9;
const MAX_COUNT = 1e7;
const MAX_ROUTERS = 10_000;

const nameSchema = Zod.string().max(MAX_NAME_LENGTH);
const workSchema = Zod.array(Zod.number().min(0).max(MAX_WORK)).max(MAX_LEVELS);
const countSchema = Zod.number().min(0).max(MAX_COUNT);

const roomFactsSchema = Zod.object({
  service: nameSchema.min(1),
  organisations: Zod.array(
    Zod.object({ organisation: nameSchema, demand: workSchema, served: workSchema }),
  ).max(MAX_ORGANISATIONS),
  speeds: Zod.array(
    Zod.object({ engine: nameSchema.min(1), factor: Zod.number().min(0.1).max(10) }),
  ).max(MAX_SPEEDS),
  repeats: Zod.object({ requests: countSchema, retries: countSchema, capacity: countSchema }),
  endedRepeats: Zod.object({ requests: countSchema, retries: countSchema }),
  routers: Zod.number().int().min(0).max(MAX_ROUTERS),
  /** Missing in messages of older versions. */
  settledRouters: Zod.number().int().min(0).max(MAX_ROUTERS).default(0),
});

export const factsSchema = Zod.object({ facts: Zod.array(roomFactsSchema).max(MAX_SERVICES) });

export const roomMessageSchema = factsSchema.extend({
  router: Zod.string().min(1).max(MAX_NAME_LENGTH),
  incarnation: Zod.number().int().min(0),
  sequence: Zod.number().int().min(0),
  scope: Zod.enum(['router', 'zone']),
  zone: nameSchema,
  isEnding: Zod.boolean(),
});

export function encodeFacts(facts: readonly RoomFacts[]): Zod.infer<typeof factsSchema> {
  return {
    facts: facts.slice(0, MAX_SERVICES).map(({ organisations, speeds, ...rest }) => ({
      ...rest,
      organisations: organisations
        .slice(0, MAX_ORGANISATIONS)
        .map(({ organisation, demand, served }) => ({
          organisation,
          demand: [...demand],
          served: [...served],
        })),
      speeds: speeds.slice(0, MAX_SPEEDS).map((speed) => ({ ...speed })),
    })),
  };
}

const senderSchema = Zod.object({ router: nameSchema });

/** Throws where the message is malformed, after the sender and the first fault were recorded. */
export function decodeMessage(
  value: unknown,
  recordRefusal: (sender: string, reason: string) => void,
): RoomMessage {
  const result = roomMessageSchema.safeParse(value);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const sender = senderSchema.safeParse(value).data?.router ?? 'unknown';
  const reason = `${issue?.path.join('.')}: ${issue?.message}`;
  recordRefusal(sender, reason);
  throw new Error(reason);
}

export function encodeMessage(message: RoomMessage): Zod.infer<typeof roomMessageSchema> {
  return { ...message, ...encodeFacts(message.facts) };
}
