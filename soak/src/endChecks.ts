/** Checks the state of the system after the last fault. */
import type { Violation } from './checks';
import type { Environment } from './environment';

/** Checks that every router serves requests after the last fault and that no abandoned request still runs. */
export function* checkEnd(environment: Environment, priorCount: number): Generator<Violation> {
  const { requestLog, routers, targets } = environment;
  const finalRequests = [...requestLog.requests.values()].slice(priorCount);
  for (const [index, router] of routers.entries()) {
    const routerRequests = finalRequests.filter((request) => request.router === index);
    const served = routerRequests.filter(({ id }) => {
      const result = requestLog.results.get(id);
      return result?.kind === 'answer' && result.status === 200 && result.isComplete;
    });
    if (served.length * 2 < routerRequests.length) {
      const text = `router ${index}: ${served.length} of ${routerRequests.length} served at the end`;
      yield { rule: 'recovers', text };
    }
    for (const code of router.listExitCodes().filter((one) => one !== 0)) {
      yield { rule: 'ends', text: `router ${index}: exited with ${String(code)} after SIGTERM` };
    }
  }
  const openRequests = targets.reduce(
    (sum, target) => sum + target.getCurrent().countInFlight(),
    0,
  );
  if (openRequests > 0) {
    yield { rule: 'cancelled', text: `${openRequests} requests still run at the end` };
  }
}
