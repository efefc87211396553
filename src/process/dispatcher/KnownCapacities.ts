/**
 * What upstreams have had of late: capacity and labels, also of those that are gone, drain or have shrunk. A task that
 * needs more than each of them has had is not expected to be served while its caller waits.
 */
import type { UpstreamDescription } from '../../connection/peer/peerMessages.js';
import { fitResources } from '../../request/dispatch/resources.js';
import type { JobSubmission, Refusal, Resources, StepNeed } from '../../request/dispatch/submission.js';

/**
 * Time from the first upstream of a service until all that are there are known, ms: executors of a dispatcher that has
 * started link to it, and upstreams report, within it.
 */
const SETTLE_MS = 5_000;
/** How long an upstream that is gone is remembered, ms: another like it may take its place. */
const RETENTION_MS = 600_000;
/** Retry delay of refused callers, ms: an upstream may come, or its capacity may grow, but not within seconds. */
const RETRY_MS = 10_000;
/** Most kinds of upstreams that are remembered for a service; the oldest are forgotten first. */
const MAX_KINDS = 1_000;

/** Upstreams with the same labels and capacity. */
interface UpstreamKind {
  readonly labels: readonly string[];
  /** Largest amount of each resource. */
  readonly capacity: Resources;
  seenAt: number;
}

interface KnownService {
  /** When its first upstream was seen, ms. */
  readonly since: number;
  /** Kinds by their description, the one seen longest ago first. */
  readonly kinds: Map<string, UpstreamKind>;
  /** Whether it has been reported as settled. */
  isSettled: boolean;
}

/** Capacities known to one dispatcher. Points in time are monotonic ms. */
export class KnownCapacities {
  private readonly services = new Map<string, KnownService>();

  /** Records an upstream that is there. */
  record({ service, labels, capacity, largest = capacity }: UpstreamDescription, now: number): void {
    if (service === '') return;
    let known = this.services.get(service);
    if (!known) this.services.set(service, (known = { since: now, kinds: new Map(), isSettled: false }));
    const key = JSON.stringify([labels, largest]);
    const kind = known.kinds.get(key) ?? { labels, capacity: largest, seenAt: now };
    kind.seenAt = now;
    known.kinds.delete(key);
    known.kinds.set(key, kind);
    for (const oldest of known.kinds.keys()) {
      if (known.kinds.size <= MAX_KINDS) break;
      known.kinds.delete(oldest);
    }
  }

  /**
   * Forgets upstreams that are gone for long.
   *
   * @returns whether there are services of which all upstreams are known from now on
   */
  tick(now: number): boolean {
    let hasSettled = false;
    for (const [service, known] of this.services) {
      for (const [key, { seenAt }] of known.kinds) {
        if (now - seenAt <= RETENTION_MS) break;
        known.kinds.delete(key);
      }
      if (known.kinds.size === 0) this.services.delete(service);
      if (known.isSettled || now - known.since < SETTLE_MS) continue;
      known.isSettled = true;
      hasSettled = true;
    }
    return hasSettled;
  }

  /**
   * Finds the refusal of a job with a step of which no upstream could run a task.
   *
   * @returns the refusal, which names the first such step; undefined while not all upstreams are known
   */
  findRefusal({ route, steps }: JobSubmission, now: number): Refusal | undefined {
    const known = this.services.get(route.service);
    if (!known || now - known.since < SETTLE_MS) return undefined;
    const step = steps.findIndex((need) => need.count > 0 && !canServe(known, need));
    const need = steps[step];
    if (!need) return undefined;
    const findings = [{ pointer: `/steps/${step}`, message: describeExcess(need) }];
    return { kind: 'refused', reason: 'no-upstream-fits', retryAfterMs: RETRY_MS, findings };
  }
}

function canServe({ kinds }: KnownService, { resources, requiredLabel }: StepNeed): boolean {
  for (const { labels, capacity } of kinds.values()) {
    if (requiredLabel !== '' && !labels.includes(requiredLabel)) continue;
    if (fitResources(resources, capacity)) return true;
  }
  return false;
}

function describeExcess({ resources, requiredLabel }: StepNeed): string {
  const { cpuMilli, memoryMb, gpus } = resources;
  const amounts = `${cpuMilli / 1_000} cores, ${memoryMb} MB and ${gpus} GPUs`;
  const label = requiredLabel === '' ? '' : ` and the required label`;
  return `no upstream of the service has had ${amounts}${label}`;
}
