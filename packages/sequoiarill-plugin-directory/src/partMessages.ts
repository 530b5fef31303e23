/** Messages between routers about parts of prompts, validated on both sides. */
import type { PartAnswer, PartBlock, PartFindings } from '@sequoiarill/types';
import * as Zod from 'zod';

/** Limits of one message. */
const MAX_ITEMS = 200;
const MAX_CRASH_OTHERS = 64;
/** A block holds the parts that all crashes of its targets have in common, of several requests each. */
const MAX_BLOCK_OTHERS = 1_024;
const MAX_TARGETS = 64;
/** Of all blocks of one message, which the receiver takes up to a number of bytes. */
const MAX_MESSAGE_OTHERS = 16_384;
const MAX_NAME_LENGTH = 200;
/** Requests wait no longer than this for an inquiry. */
const MAX_HOLD_MS = 10_000;

const partSchema = Zod.string().min(1).max(MAX_NAME_LENGTH);
const blockOthersSchema = Zod.array(partSchema).max(MAX_BLOCK_OTHERS);
const targetsSchema = Zod.array(Zod.string().max(MAX_NAME_LENGTH)).max(MAX_TARGETS);
const organisationSchema = Zod.string().max(MAX_NAME_LENGTH);
const ageSchema = Zod.number().min(0);

export const partCrashesSchema = Zod.object({
  crashes: Zod.array(
    Zod.object({
      part: partSchema,
      others: Zod.array(partSchema).max(MAX_CRASH_OTHERS),
      organisation: organisationSchema,
      target: Zod.string().max(MAX_NAME_LENGTH),
      stage: Zod.enum(['waiting', 'begun', 'running']),
      ageMs: ageSchema,
    }),
  ).max(MAX_ITEMS),
});

export const partAnswersSchema = Zod.object({
  answers: Zod.array(Zod.object({ part: partSchema, ageMs: ageSchema })).max(MAX_ITEMS),
});

export const partQuerySchema = Zod.object({
  part: partSchema,
  others: blockOthersSchema,
  targets: targetsSchema,
  awaitedRuns: Zod.enum(['none', 'begun', 'all']),
  sinceAgeMs: ageSchema,
  organisation: organisationSchema.optional(),
  holdMs: Zod.number().min(0).max(MAX_HOLD_MS).optional(),
});

export const partFindingsSchema = Zod.object({
  ...partAnswersSchema.shape,
  explainedTargets: targetsSchema,
  wasAnswered: Zod.boolean().optional(),
  crashedTargets: targetsSchema.optional(),
});

export const partBlocksSchema = Zod.object({
  blocks: Zod.array(
    Zod.object({
      part: partSchema,
      others: blockOthersSchema,
      organisation: organisationSchema.optional(),
      targets: targetsSchema,
      firstAgeMs: ageSchema,
      lastAgeMs: ageSchema,
      failedTrials: Zod.number().int().min(0),
    }),
  ).max(MAX_ITEMS),
});

type PartBlocksMessage = Zod.infer<typeof partBlocksSchema>;

/**
 * The last blocks are the ones that changed most recently. What a message may not hold is left out, since the receiver
 * would refuse all blocks of the message; routers learn it from the store.
 */
function selectSendable(blocks: readonly PartBlock[]): readonly PartBlock[] {
  const selected: PartBlock[] = [];
  let othersLeft = MAX_MESSAGE_OTHERS;
  for (const block of blocks.slice(-MAX_ITEMS).reverse()) {
    const { length } = block.others;
    if (length <= Math.min(MAX_BLOCK_OTHERS, othersLeft)) {
      selected.unshift(block);
      othersLeft -= length;
    }
  }
  return selected;
}

export function encodePartBlocks(blocks: readonly PartBlock[]): PartBlocksMessage {
  return {
    blocks: selectSendable(blocks).map((block) => ({
      ...block,
      others: [...block.others],
      targets: [...block.targets],
    })),
  };
}

export function decodePartBlocks({ blocks }: PartBlocksMessage): readonly PartBlock[] {
  return blocks.map(({ organisation, ...block }) =>
    organisation === undefined ? block : { ...block, organisation },
  );
}

export function encodePartFindings({
  answers,
  explainedTargets,
  wasAnswered,
  crashedTargets = [],
}: PartFindings): Zod.infer<typeof partFindingsSchema> {
  return {
    ...encodePartAnswers(answers),
    explainedTargets: [...explainedTargets],
    crashedTargets: crashedTargets.slice(-MAX_TARGETS),
    wasAnswered,
  };
}

export function encodePartAnswers(
  answers: readonly PartAnswer[],
): Zod.infer<typeof partAnswersSchema> {
  return { answers: answers.slice(-MAX_ITEMS) };
}
