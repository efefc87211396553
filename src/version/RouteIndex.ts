/** Finds the route of a request without a look at all routes: by host, then by path prefix, longest first. */
import type { QueueRoute } from './configuration.js';

/** Routes of one host. */
interface HostRoutes {
  /** Lengths of the prefixes, longest first. */
  readonly lengths: number[];
  readonly byPrefix: Map<string, QueueRoute>;
}

/** Index of the routes of one version. */
export class RouteIndex {
  private readonly hosts = new Map<string, HostRoutes>();

  constructor(routes: readonly QueueRoute[]) {
    for (const route of routes) this.add(route);
  }

  /** The route with the longest prefix of a path; undefined for none. The host is in lower case. */
  find(host: string, path: string): QueueRoute | undefined {
    const routes = this.hosts.get(host);
    if (!routes) return undefined;
    for (const length of routes.lengths) {
      const route = length <= path.length ? routes.byPrefix.get(path.slice(0, length)) : undefined;
      if (route) return route;
    }
    return undefined;
  }

  /** Of two routes with the same host and prefix the first one holds. */
  private add(route: QueueRoute): void {
    const { host, pathPrefix } = route;
    let routes = this.hosts.get(host);
    if (!routes) {
      routes = { lengths: [], byPrefix: new Map() };
      this.hosts.set(host, routes);
    }
    if (routes.byPrefix.has(pathPrefix)) return;
    routes.byPrefix.set(pathPrefix, route);
    if (routes.lengths.includes(pathPrefix.length)) return;
    routes.lengths.push(pathPrefix.length);
    routes.lengths.sort((a, b) => b - a);
  }
}
