/**
 * Routes of earlier configurations that the newest one lacks. They are kept for a time, since jobs that were submitted to
 * them may still run and may be cancelled.
 */
import type { Configuration, QueueRoute } from './configuration.js';
import { RouteIndex } from './RouteIndex.js';

/** Most routes that are kept; the oldest are forgotten first. */
const MAX_ROUTES = 5_000;

interface DroppedRoute {
  readonly route: QueueRoute;
  /** When a configuration without it was adopted, monotonic ms. */
  readonly droppedAt: number;
}

/** Dropped routes of one process. */
export class DroppedRoutes {
  /** By host and path prefix, the oldest first. */
  private readonly dropped = new Map<string, DroppedRoute>();
  private current: Configuration | undefined;
  private index: RouteIndex | undefined;

  /** @param retentionMs - how long a dropped route is kept, ms */
  constructor(private readonly retentionMs: number) {}

  /** Records the routes that a new configuration lacks. */
  adopt(configuration: Configuration, now: number): void {
    const kept = new Set(configuration.routes.map((route) => buildRouteKey(route)));
    for (const key of kept) this.dropped.delete(key);
    for (const route of this.current?.routes ?? []) {
      const key = buildRouteKey(route);
      if (!kept.has(key)) this.dropped.set(key, { route, droppedAt: now });
    }
    this.current = configuration;
    this.removeOld(now);
    this.index = undefined;
  }

  /**
   * Finds the dropped route of a request.
   *
   * @param host - host name of the request, without a port
   * @param path - path of the request
   * @param now - monotonic time, ms
   * @returns the route with the longest matching prefix, or undefined if none matches
   */
  find(host: string, path: string, now: number): QueueRoute | undefined {
    if (this.removeOld(now)) this.index = undefined;
    if (this.dropped.size === 0) return undefined;
    this.index ??= new RouteIndex([...this.dropped.values()].map(({ route }) => route));
    return this.index.find(host.toLowerCase(), path);
  }

  /** Forgets routes beyond the limits of time and number; returns whether there were any. */
  private removeOld(now: number): boolean {
    const before = this.dropped.size;
    for (const [key, { droppedAt }] of this.dropped) {
      if (now - droppedAt < this.retentionMs && this.dropped.size <= MAX_ROUTES) break;
      this.dropped.delete(key);
    }
    return this.dropped.size < before;
  }
}

function buildRouteKey({ host, pathPrefix }: QueueRoute): string {
  return `${host} ${pathPrefix}`;
}
