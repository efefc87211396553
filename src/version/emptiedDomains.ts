/** Failure domains that the operators evacuated: no task is started there until they are restored. */

/** All evacuated failure domains at one revision. */
export interface EmptiedDomains {
  /** Number of the operators' records applied; a list with a higher revision is newer. */
  readonly revision: number;
  readonly domains: readonly string[];
}

/** Record of an operator that evacuates or restores a failure domain. */
export interface DomainChange {
  /** Number of the operators' records up to and including this one. */
  readonly revision: number;
  readonly domain: string;
  readonly isEmptied: boolean;
}

/**
 * Applies a record to a list of evacuated failure domains.
 *
 * @param list - the current list
 * @param change - the record
 * @returns the new list, or `list` itself if the record is not newer
 * @example
 * applyDomainChange({ revision: 4, domains: [] }, { revision: 7, domain: 'north', isEmptied: true });
 * // { revision: 7, domains: ['north'] }
 */
export function applyDomainChange(
  list: EmptiedDomains,
  { revision, domain, isEmptied }: DomainChange,
): EmptiedDomains {
  if (revision <= list.revision) return list;
  const others = list.domains.filter((one) => one !== domain);
  return { revision, domains: isEmptied ? [...others, domain].sort() : others };
}
