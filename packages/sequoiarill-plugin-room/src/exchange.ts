/** Sends reports to the collector of the zone and exchanges sums with those of other zones. */
import type { PluginContext, RoomFacts, RoomMessage, RouterPeers } from '@sequoiarill/types';

import * as Collectors from './collectors';
import * as Metrics from './metrics';
import type { ServiceState } from './serviceState';

export interface Exchange {
  /** One round for the active services; sends nothing for those without traffic. */
  readonly runRound: (services: ReadonlyMap<string, ServiceState>) => Promise<void>;
  /** Sends the last report of this process. Nothing is sent after it. */
  readonly sendLastReport: (services: ReadonlyMap<string, ServiceState>) => Promise<void>;
}

export interface ExchangeOptions {
  readonly zone: string;
  readonly clock: Pick<PluginContext['clock'], 'getNowMs' | 'getWallTime'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'exchangeRoom'>;
  readonly metrics: Pick<PluginContext['metrics'], 'addCount'>;
}

/** Facts about one service, for the first of the routers that answers. */
interface Errand {
  readonly service: string;
  readonly state: ServiceState;
  readonly routers: readonly string[];
  readonly facts: RoomFacts;
}

type HandleAnswer = (errand: Errand, router: string, answer: RoomFacts) => void;

/** Routers tried for one errand in a round. A round that tries more is longer than the interval of rounds. */
const MAX_ROUTERS_TRIED = 2;
/** A process that has just started reports without traffic for this long, to learn the digest. */
const STARTING_MS = 10_000;
/** Facts in one message, as the receiving side checks it. */
const MAX_SERVICES = 50;

/** Groups errands by the router that is tried now; a group is sent in one message. */
function buildGroups(errands: readonly Errand[], attempt: number): readonly (readonly Errand[])[] {
  const groups = new Map<string, Errand[]>();
  for (const errand of errands) {
    const router = errand.routers[attempt] ?? '';
    const group = groups.get(router);
    if (group === undefined) groups.set(router, [errand]);
    else group.push(errand);
  }
  return [...groups.values()].flatMap((group) =>
    Array.from({ length: Math.ceil(group.length / MAX_SERVICES) }, (_, index) =>
      group.slice(index * MAX_SERVICES, (index + 1) * MAX_SERVICES),
    ),
  );
}

export function createExchange({ zone, clock, peers, metrics }: ExchangeOptions): Exchange {
  const startedMs = clock.getNowMs();
  const startedAtUnixMs = Date.parse(clock.getWallTime());
  const incarnation = Number.isFinite(startedAtUnixMs) ? Math.max(0, startedAtUnixMs) : 0;
  let sequence = 0;
  let isStopping = false;

  type Header = Pick<RoomMessage, 'scope' | 'isEnding'>;

  /** Returns the errands that were not answered. */
  async function sendGroup(
    header: Header,
    group: readonly Errand[],
    router: string,
    handleAnswer: HandleAnswer,
  ): Promise<readonly Errand[]> {
    // A newer message after the last report would count this process as live again.
    if (isStopping && !header.isEnding) return group;
    sequence += 1;
    const outcome = await peers.exchangeRoom(router, {
      ...header,
      router: peers.self,
      incarnation,
      sequence,
      zone,
      facts: group.map(({ facts }) => facts),
    });
    metrics.addCount(Metrics.CALLS, 1, {
      scope: header.scope,
      outcome: outcome.kind === 'failed' ? 'failed' : 'answered',
    });
    if (outcome.kind === 'failed') return group;
    if (header.isEnding) return [];
    const answers = new Map(outcome.facts.map((facts) => [facts.service, facts]));
    return group.filter((errand) => {
      const answer = answers.get(errand.service);
      if (answer !== undefined) handleAnswer(errand, router, answer);
      // The service may be off at the peer, whose configuration may be older or newer.
      return answer === undefined;
    });
  }

  /** Tries the routers of each errand in turn. Returns the errands whose turn came to this router. */
  async function sendErrands(
    header: Header,
    errands: readonly Errand[],
    handleAnswer: HandleAnswer,
  ): Promise<readonly Errand[]> {
    const reachedSelf: Errand[] = [];
    let pending = errands;
    for (let attempt = 0; attempt < MAX_ROUTERS_TRIED && pending.length > 0; attempt += 1) {
      const remote = pending.filter(({ routers }) => {
        const router = routers[attempt];
        return router !== undefined && router !== peers.self;
      });
      reachedSelf.push(...pending.filter(({ routers }) => routers[attempt] === peers.self));
      const unanswered = await Promise.all(
        buildGroups(remote, attempt).map((group) =>
          sendGroup(header, group, group[0]?.routers[attempt] ?? '', handleAnswer),
        ),
      );
      pending = unanswered.flat();
    }
    return reachedSelf;
  }

  function listRouters(ofZone: string, service: string): readonly string[] {
    return Collectors.listCollectors(peers, ofZone, zone, service);
  }

  function buildReports(services: ReadonlyMap<string, ServiceState>): readonly Errand[] {
    return [...services].map(([service, state]) => ({
      service,
      state,
      routers: listRouters(zone, service),
      facts: state.buildReport(),
    }));
  }

  async function sendReports(services: ReadonlyMap<string, ServiceState>) {
    const header: Header = { scope: 'router', isEnding: false };
    const errands = buildReports(services);
    const collected = await sendErrands(header, errands, (errand, _router, answer) => {
      errand.state.recordDigest(answer, errand.facts);
    });
    for (const errand of errands) errand.state.setCollector(collected.includes(errand));
    return collected;
  }

  async function sendSums(collected: readonly Errand[]): Promise<void> {
    const exchanges = Collectors.listOtherZones(peers, zone).map((other) => {
      const errands = collected.map(({ service, state }) => {
        const facts = state.buildZoneSum();
        return { service, state, routers: listRouters(other, service), facts };
      });
      return sendErrands({ scope: 'zone', isEnding: false }, errands, (errand, router, answer) => {
        errand.state.recordZoneAnswer(other, router, answer);
      });
    });
    // The next in rank knows this router's figures if it has to take its place.
    const copies = collected
      .filter(({ routers }) => routers[0] === peers.self)
      .map((errand) => ({ ...errand, routers: errand.routers.slice(1, MAX_ROUTERS_TRIED) }));
    const sendCopies = sendErrands({ scope: 'router', isEnding: false }, copies, () => undefined);
    await Promise.all([...exchanges, sendCopies]);
  }

  return {
    async runRound(services) {
      const isStarting = clock.getNowMs() - startedMs < STARTING_MS;
      const used = new Map(
        [...services].filter(([service, state]) => {
          // Copies of the collector's own reports don't count, or the two would go on for ever without traffic.
          const [collector] = listRouters(zone, service);
          return isStarting || state.hasNews() || state.hasReports(collector);
        }),
      );
      const collected = await sendReports(used);
      for (const { state } of collected) state.updateDigest();
      if (collected.length === 0) return;
      await sendSums(collected);
      for (const { state } of collected) state.updateDigest();
    },
    async sendLastReport(services) {
      isStopping = true;
      const used = new Map([...services].filter(([, state]) => state.hasNews()));
      const errands = buildReports(used).map((errand) => {
        const elsewhere = Collectors.listOtherZones(peers, zone).flatMap((other) =>
          listRouters(other, errand.service).slice(0, 1),
        );
        const routers = [...errand.routers, ...elsewhere];
        return { ...errand, routers: routers.filter((router) => router !== peers.self) };
      });
      await sendErrands({ scope: 'router', isEnding: true }, errands, () => undefined);
    },
  };
}
