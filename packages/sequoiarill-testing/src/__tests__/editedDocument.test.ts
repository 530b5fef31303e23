import { describe, it } from 'node:test';
import { setTimeout as startTimeout } from 'node:timers/promises';

import { expect } from 'earl';

import * as Answers from '../answers';
import type { ReadAnswer } from '../answers';
import * as Fleets from '../fleet';

const LIMIT = { timeout: 60_000 };
/** A router admits eight generations at least; the others wait. */
const REQUESTS = 24;
const SLOTS = 8;
const MAX_QUEUE_MS = 6_000;
const SETTLE_MS = 400;
const MAX_TOKENS = 60;

type Section = Readonly<Record<'models' | 'organisations' | 'services' | 'vms', object>>;

const EDITS: readonly { readonly name: string; readonly edit: (section: Section) => object }[] = [
  {
    name: 'removes their model',
    edit({ organisations, ...section }) {
      const changed = Object.entries(organisations).map(([name, organisation]) => [
        name,
        { ...(organisation as object), models: [] },
      ]);
      return {
        ...section,
        models: {},
        organisations: Object.fromEntries(changed) as object,
        vms: {},
      };
    },
  },
  { name: 'removes their engines', edit: (section) => ({ ...section, vms: {} }) },
  { name: 'removes their organisation', edit: (section) => ({ ...section, organisations: {} }) },
  {
    name: 'revokes their key',
    edit({ organisations, ...section }) {
      const changed = Object.entries(organisations).map(([name, organisation]) => [
        name,
        { ...(organisation as object), keys: [] },
      ]);
      return { ...section, organisations: Object.fromEntries(changed) as object };
    },
  },
];

/** `closed`: without a status; `broken`: in the middle of the answer, without an error event. */
function formatSeen(answer: ReadAnswer | undefined): string {
  if (answer === undefined) return 'closed';
  if (answer.status !== 200) return String(answer.status);
  if (answer.finishReason !== undefined) return 'whole';
  return answer.error === undefined ? 'broken' : 'error event';
}

describe(
  'generations that wait for admission while the document changes',
  { concurrency: 2 },
  () => {
    for (const { name, edit } of EDITS) {
      it(`end in an answer or a refusal where it ${name}`, LIMIT, async () => {
        // Guards against a request that waits and is closed without a status, or held for good, because of an edit.
        const fleet = await Fleets.startFleet({
          engines: 1,
          slots: SLOTS,
          engineSettings: { stepMs: 20, eosProbability: 0 },
          routerSettings: { generations: { maxQueueMs: MAX_QUEUE_MS } },
        });
        try {
          const url = fleet.routers[0]!.callers;
          const read = async (prompt: string) =>
            Answers.readAnswer({ url, apiKey: fleet.apiKey, prompt, maxTokens: MAX_TOKENS });
          expect((await read('first')).status).toEqual(200);
          const reading = Array.from({ length: REQUESTS }, (_one, index) =>
            read(`request ${index}`).catch(() => undefined),
          );
          await startTimeout(SETTLE_MS);
          await Fleets.updateDocument(fleet.platformAddress, (text = '{}') =>
            JSON.stringify(edit(JSON.parse(text) as Section)),
          );
          const seen = (await Promise.all(reading)).map(formatSeen);
          const allowed = ['whole', 'error event', '401', '403', '404', '429', '503'];
          expect(seen.filter((one) => !allowed.includes(one))).toEqual([]);
        } finally {
          await fleet.stop();
        }
      });
    }
  },
);
