/** Index of routes by host and path prefix, for lookups that do not scan all routes. */
import type { QueueRoute } from './configuration.js';

/** Routes of one host. */
interface HostRoutes {
  /** Distinct lengths of the prefixes, descending. */
  readonly lengths: number[];
  readonly byPrefix: Map<string, QueueRoute>;
}

/** Index of the routes of one configuration version. */
export class RouteIndex {
  private readonly hosts = new Map<string, HostRoutes>();

  constructor(routes: readonly QueueRoute[]) {
    for (const route of routes) this.add(route);
  }

  /** Finds the route with the longest matching prefix; `host` must be in lower case. */
  find(host: string, path: string): QueueRoute | undefined {
    const routes = this.hosts.get(host);
    if (!routes) return undefined;
    for (const length of routes.lengths) {
      const route = length <= path.length ? routes.byPrefix.get(path.slice(0, length)) : undefined;
      if (route) return route;
    }
    return undefined;
  }

  /** Adds a route; ignores it if the host and prefix exist already. */
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
