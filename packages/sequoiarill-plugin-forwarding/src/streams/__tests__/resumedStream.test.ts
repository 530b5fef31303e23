import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import type { ForwardRequest } from '../../forwardRequest';
import type { FoundOrigin } from '../../origins/originLookup';
import * as ResumedStreams from '../resumedStream';

const ORIGIN = { service: 'engines', version: 'v1', models: 'm 1' };
const FOUND: FoundOrigin = { kind: 'found', source: 'router', origin: ORIGIN, ageMs: 3 };
const UNKNOWN: FoundOrigin = { kind: 'unknown', isTemporary: false, asked: 3, answered: 3 };

async function findOrigin(change: Partial<ForwardRequest>, found: FoundOrigin) {
  const { dependencies } = Fakes.createFakeDependencies(() => []);
  let lookups = 0;
  const origins = {
    recordBegun: () => undefined,
    find: async () => {
      lookups += 1;
      return found;
    },
  };
  const request = { ...Fakes.createRequest(Fakes.createRoute()), ...change };
  const result = await ResumedStreams.findOrigin({ ...dependencies, origins }, request);
  return { result, lookups };
}

describe('a stream that a caller resumes', () => {
  it('is bound to the build and the service that began it', async () => {
    // Guards against a rest that another service of the route writes.
    const shares = ['other', 'engines'].map((service) => ({ service, weight: 1 }));
    const route = Fakes.createRoute({ shares });
    const { result } = await findOrigin({ route, service: 'other', lastEventId: '5' }, FOUND);
    if (result.kind !== 'begun') throw new Error(result.reason);
    expect(result.request.service).toEqual('engines');
    expect(result.request.build).toEqual({ version: 'v1', models: 'm 1' });
  });

  it('is refused where its service is no longer part of the route', async () => {
    // Guards against a request that runs where no configuration allows it.
    const route = Fakes.createRoute({ shares: [{ service: 'other', weight: 1 }] });
    const { result } = await findOrigin({ route, service: 'other', lastEventId: '5' }, FOUND);
    expect(result.kind === 'refused' && result.retryAfterSeconds === undefined).toEqual(true);
  });

  it('is refused where nobody knows it, with a time to come back only if that can help', async () => {
    // Guards against callers that come back in vain, and against a guess.
    const { result } = await findOrigin({ lastEventId: '5' }, UNKNOWN);
    expect(result.kind === 'refused' && result.retryAfterSeconds === undefined).toEqual(true);
    const temporary = { ...UNKNOWN, isTemporary: true };
    const { result: soon } = await findOrigin({ lastEventId: '5' }, temporary);
    expect(soon.kind === 'refused' && soon.retryAfterSeconds !== undefined).toEqual(true);
  });

  it('waits for the store where streams wait for room, and is refused if the store stays away', async () => {
    // Guards against streams that are lost because their callers come back once, during an outage of the store.
    for (const outageMs of [3_000, 60_000]) {
      const fake = Fakes.createFakeDependencies(() => []);
      const { clock, dependencies } = fake;
      const isUpToDate = () => clock.getNowMs() >= outageMs;
      const origins = {
        recordBegun: () => undefined,
        find: async () => (isUpToDate() ? FOUND : { ...UNKNOWN, isTemporary: true }),
      };
      const room = { ...dependencies.room, isActive: () => true };
      const directory = { ...dependencies.directory, isUpToDate };
      const request = { ...Fakes.createRequest(Fakes.createRoute()), lastEventId: '5' };
      const searched = ResumedStreams.findOrigin(
        { ...dependencies, origins, room, directory },
        request,
      );
      let endedMs = Number.POSITIVE_INFINITY;
      searched.then(
        () => {
          endedMs = clock.getNowMs();
        },
        () => undefined,
      );
      await clock.runFor(request.expiresAtMs);
      expect(endedMs).toBeLessThan(request.expiresAtMs * 0.4);
      expect((await searched).kind).toEqual(outageMs <= endedMs ? 'begun' : 'refused');
    }
  });

  it('is free where its caller holds no event yet', async () => {
    // Guards against refusals of streams that may begin anywhere.
    for (const lastEventId of [undefined, '']) {
      const change = lastEventId === undefined ? {} : { lastEventId };
      const { result, lookups } = await findOrigin({ ...change, resumedRequestId: 'x' }, UNKNOWN);
      expect([result.kind, lookups]).toEqual(['begun', 0]);
    }
  });

  it('is bound by the router that sends it on, without a second search', async () => {
    // Guards against a build that is lost between two routers.
    const build = { version: 'v2', models: 'm 1' };
    const relayTerms = { version: 1, targetsLeft: 2, build };
    const { result, lookups } = await findOrigin({ relayTerms, lastEventId: '5' }, UNKNOWN);
    expect(result.kind === 'begun' && result.request.build).toEqual(build);
    expect(lookups).toEqual(0);
  });
});
