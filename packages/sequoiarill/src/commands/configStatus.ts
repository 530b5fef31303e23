/** `config status`: the revision of each section in the platform, and which routers lag behind it. */
import type { StoredDocument } from '@sequoiarill/plugin-platform';

import type { CommandResult } from './configOutput';
import * as OperatorsClient from './operatorsClient';

/** What a router that is asked shows of its configuration. */
interface RouterState {
  readonly configuration: {
    readonly revision: number;
    readonly sections: readonly { readonly name: string; readonly revision: number }[];
    readonly refused: readonly { readonly name: string; readonly revision: number }[];
  };
}

/** A section that a router has in an older revision than the platform. */
export interface LaggingSection {
  readonly name: string;
  readonly revision: number;
  /** When the newer text was accepted, ISO 8601. */
  readonly since: string;
  /** The router has seen the newer text and refuses it for its faults. */
  readonly isRefused: boolean;
}

export type RouterStatus =
  | {
      readonly kind: 'router';
      readonly address: string;
      readonly revision: number;
      readonly lagging: readonly LaggingSection[];
    }
  | { readonly kind: 'silent'; readonly address: string; readonly message: string };

/** Compared section by section: a router's own revision also counts changes of the VM list. */
export function listLagging(
  document: StoredDocument,
  state: RouterState,
): readonly LaggingSection[] {
  const { sections, refused } = state.configuration;
  const held = new Map(sections.map(({ name, revision }) => [name, revision]));
  const refusedNames = new Set(refused.map(({ name }) => name));
  return [...document.sections]
    .map(([name, { revision, at }]) => ({ name, stored: revision, since: at }))
    .filter(({ name, stored }) => (held.get(name) ?? 0) < stored)
    .map(({ name, since }) => {
      const revision = held.get(name) ?? 0;
      return { name, revision, since, isRefused: refusedNames.has(name) };
    });
}

async function readRouter(
  document: StoredDocument,
  address: string,
  token: string | undefined,
): Promise<RouterStatus> {
  const outcome = await OperatorsClient.callOperators(address, '/state/platform', token);
  if (outcome.kind !== 'answer') return { kind: 'silent', address, message: outcome.message };
  const state = outcome.body as RouterState;
  const lagging = listLagging(document, state);
  return { kind: 'router', address, revision: state.configuration.revision, lagging };
}

export async function readRouters(
  document: StoredDocument,
  addresses: readonly string[],
  token: string | undefined,
): Promise<readonly RouterStatus[]> {
  return Promise.all(addresses.map((address) => readRouter(document, address.trim(), token)));
}

function formatRouter(router: RouterStatus): string {
  if (router.kind === 'silent') return `${router.address}: ${router.message}`;
  const { address, revision, lagging } = router;
  if (lagging.length === 0) return `${address}: revision ${revision}, up to date`;
  const parts = lagging.map((section) => {
    const reason = section.isRefused ? 'refused for its faults' : 'lags';
    return `[${section.name}] at ${section.revision} ${reason} since ${section.since}`;
  });
  return `${address}: revision ${revision}; ${parts.join('; ')}`;
}

/** Exit code 1 when a router lags or does not answer, so that a script can wait for a change. */
export function reportStatus(
  document: StoredDocument,
  routers: readonly RouterStatus[],
): CommandResult {
  const sections = [...document.sections].map(([name, { revision, at, author }]) => ({
    name,
    revision,
    at,
    author,
  }));
  const newest = Math.max(0, ...sections.map(({ revision }) => revision));
  const lines = [
    `newest revision ${newest}`,
    ...sections.map(
      ({ name, revision, at, author }) => `[${name}] revision ${revision}  ${at}  ${author}`,
    ),
    ...routers.map(formatRouter),
  ];
  const isBehind = routers.some((router) => router.kind === 'silent' || router.lagging.length > 0);
  const json = { kind: 'status', revision: newest, sections, routers };
  return { exitCode: isBehind ? 1 : 0, text: lines.join('\n'), json };
}
