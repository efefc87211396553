/**
 * Needs for which no executor was found while the waiting tasks are placed. Free capacity only shrinks meanwhile, so a task
 * that needs as much of each resource, in the same service, is passed over.
 */
import { fitResources } from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';
import type { DispatchTask } from './dispatchJob.js';

/** Most needs that are compared; further ones are not recorded, and their tasks are tried. */
const MAX_NEEDS = 16;

/** Needs of one service. */
interface ServiceNeeds {
  readonly any: Resources[];
  /** Needs of suspect tasks, which fewer executors may run. */
  readonly suspect: Resources[];
  /** Needs by the label that the upstream must have. */
  readonly byLabel: Map<string, Resources[]>;
}

/** Needs of one pass over the waiting tasks. */
export class UnplacedNeeds {
  private readonly services = new Map<string, ServiceNeeds>();

  /** Whether no executor can be found for a task, since none was found for another one. */
  covers({ job, need }: DispatchTask): boolean {
    const needs = this.services.get(job.submission.route.service);
    if (!needs) return false;
    const { resources, requiredLabel } = need;
    if (isAnyWithin(needs.any, resources)) return true;
    return requiredLabel !== '' && isAnyWithin(needs.byLabel.get(requiredLabel) ?? [], resources);
  }

  /** Whether no executor can be found for a suspect task, since none was found for another one. */
  coversSuspect({ job, need }: DispatchTask): boolean {
    const needs = this.services.get(job.submission.route.service);
    return needs !== undefined && isAnyWithin(needs.suspect, need.resources);
  }

  /** Records that no executor was found for a task. */
  record({ job, need: { resources, requiredLabel } }: DispatchTask, isSuspect: boolean): void {
    const { service } = job.submission.route;
    let needs = this.services.get(service);
    if (!needs) this.services.set(service, (needs = { any: [], suspect: [], byLabel: new Map() }));
    // A suspect with a label is in neither list: others with one of the two may still be placed.
    if (requiredLabel === '') addNeed(isSuspect ? needs.suspect : needs.any, resources);
    else if (!isSuspect) {
      let labelled = needs.byLabel.get(requiredLabel);
      if (!labelled) needs.byLabel.set(requiredLabel, (labelled = []));
      addNeed(labelled, resources);
    }
  }
}

/** Whether one of the needs is no larger than another in any resource. */
function isAnyWithin(needs: readonly Resources[], other: Resources): boolean {
  for (const need of needs) if (fitResources(need, other)) return true;
  return false;
}

function addNeed(needs: Resources[], need: Resources): void {
  let kept = 0;
  for (const other of needs) if (!fitResources(need, other)) needs[kept++] = other;
  needs.length = kept;
  if (needs.length < MAX_NEEDS) needs.push(need);
}
