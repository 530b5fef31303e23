/** `config status`: the stored revision of each section, and the routers that lag behind it. */
import type { StoredDocument } from '@sequoiarill/plugin-platform';

import type { CommandResult } from './configOutput';
import * as OperatorsClient from './operatorsClient';

/** The configuration state that a router reports at `/state/platform`. */
interface RouterState {
  readonly configuration: {
    readonly revision: number;
    readonly sections: readonly { readonly name: string; readonly revision: number }[];
    readonly refused: readonly { readonly name: string; readonly revision: number }[];
  };
}

/** A section of which a router has an older revision than the platform. */
export interface LaggingSection {
  readonly name: string;
  readonly revision: number;
  /** When the newer revision was accepted, in ISO 8601 format. */
  readonly since: string;
  /** Whether the router received the newer revision and rejected it as invalid. */
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

/**
 * Compares section by section, since the overall revision of a router also covers changes of the VM
 * list.
 */
export function listLaggingSections(
  document: StoredDocument,
  state: RouterState,
): readonly LaggingSection[] {
  const { sections, refused } = state.configuration;
  const heldRevisions = new Map(sections.map(({ name, revision }) => [name, revision]));
  const refusedNames = new Set(refused.map(({ name }) => name));
  return [...document.sections]
    .map(([name, { revision, at }]) => ({ name, storedRevision: revision, since: at }))
    .filter(({ name, storedRevision }) => (heldRevisions.get(name) ?? 0) < storedRevision)
    .map(({ name, since }) => {
      const revision = heldRevisions.get(name) ?? 0;
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
  const lagging = listLaggingSections(document, state);
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
    const reason = section.isRefused ? 'refused as invalid' : 'lags';
    return `[${section.name}] at ${section.revision} ${reason} since ${section.since}`;
  });
  return `${address}: revision ${revision}; ${parts.join('; ')}`;
}

/**
 * Exits with 1 if a router lags or does not respond, so that a script can wait until all routers
 * use a change.
 */
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
