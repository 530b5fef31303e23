/** Finds the route of a request by host and longest path prefix, and the organisation of an API key. */
import type {
  ForwardingConfiguration,
  ForwardingOrganisation,
  ForwardingRoute,
} from '@sequoiarill/types';

export interface RouteTable {
  readonly findRoute: (host: string, path: string) => ForwardingRoute | undefined;
  readonly findOrganisation: (apiKey: string) => ForwardingOrganisation | undefined;
}

export function createRouteTable(configuration: ForwardingConfiguration): RouteTable {
  const routesByHost = new Map<string, Map<string, ForwardingRoute>>();
  for (const route of configuration.routes) {
    const routes = routesByHost.get(route.host) ?? new Map<string, ForwardingRoute>();
    routes.set(route.pathPrefix, route);
    routesByHost.set(route.host, routes);
  }
  const organisations = new Map<string, ForwardingOrganisation>();
  for (const organisation of configuration.organisations ?? []) {
    organisation.apiKeys.forEach((key) => organisations.set(key, organisation));
  }

  return {
    findRoute(host, path) {
      const routes = routesByHost.get(formatHost(host));
      if (routes === undefined) return undefined;
      // Every prefix ends with a slash, so only the positions of slashes in the path need a lookup.
      for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
        const route = routes.get(path.slice(0, end + 1));
        if (route !== undefined) return route;
        if (end === 0) return undefined;
      }
      return undefined;
    },
    findOrganisation: (apiKey) => organisations.get(apiKey),
  };
}

function formatHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
