/** Calls that routers make to a target on their own account, as the stand-in for targets answers them. */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';

import type { EndlessAnswers, EndlessScope } from './endlessAnswers';

export interface TargetState {
  readonly id: string;
  readonly formatReport: () => string;
  readonly formatCachedParts: () => string;
}

export interface ManagementCalls {
  readonly isManagementCall: (request: IncomingMessage) => boolean;
  readonly handleCall: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
}

interface ManagementAnswer {
  readonly scope: EndlessScope;
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly formatBody: () => string;
}

const OK = 200;
const NOT_FOUND = 404;
const JSON_HEADERS = { 'content-type': 'application/json' };

export function createManagementCalls(
  { id, formatReport, formatCachedParts }: TargetState,
  endless: Pick<EndlessAnswers, 'isEndless' | 'sendEndless'>,
): ManagementCalls {
  const json = { status: OK, headers: JSON_HEADERS };
  const empty = { headers: {}, formatBody: () => '' };
  const answers: Readonly<Record<string, ManagementAnswer>> = {
    '/report': { ...json, scope: 'reports', formatBody: formatReport },
    '/kv-list': { ...json, scope: 'cacheListings', formatBody: formatCachedParts },
    '/kv-move': { ...empty, scope: 'copyCommands', status: NOT_FOUND },
    '/healthz': { ...empty, scope: 'statusChecks', status: OK, headers: { 'instance-id': id } },
  };

  return {
    isManagementCall: ({ url = '' }) => answers[url] !== undefined,
    async handleCall(request, response) {
      const answer = answers[request.url ?? ''];
      if (answer === undefined) return;
      const { scope, status, headers, formatBody } = answer;
      const body = formatBody();
      if (endless.isEndless(scope)) {
        await endless.sendEndless(scope, request, response, { headers, body });
      } else response.writeHead(status, headers).end(body);
    },
  };
}
