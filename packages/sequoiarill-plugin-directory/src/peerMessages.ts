/** Messages between routers about the directory; both sides check them. */
import * as Zod from 'zod';

export const recordsQuestionSchema = Zod.object({
  /** Records above this revision are asked for. */
  afterRevision: Zod.number().int().min(0),
});

const recordSchema = Zod.object({
  key: Zod.string(),
  revision: Zod.number().int(),
  /** Absent: the key was removed at that revision. */
  value: Zod.string().optional(),
});

export const recordsAnswerSchema = Zod.object({
  records: Zod.array(recordSchema),
});

export type RecordsQuestion = Zod.infer<typeof recordsQuestionSchema>;
export type RecordsAnswer = Zod.infer<typeof recordsAnswerSchema>;
