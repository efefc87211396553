/** Failure domains that the operators have emptied: nothing is started there until they are taken back. */

/** All emptied failure domains at one point of what the operators have written. */
export interface EmptiedDomains {
  /** Number of the operators' records that are taken into account; of two lists, the one with more is the newer. */
  readonly revision: number;
  readonly domains: readonly string[];
}

/** One record of the operators: a failure domain is emptied, or taken back. */
export interface DomainChange {
  /** Number of the operators' records up to this one, itself included. */
  readonly revision: number;
  readonly domain: string;
  readonly isEmptied: boolean;
}

/**
 * Applies a record to the list that it may be newer than.
 *
 * @param list - what is known
 * @param change - the record
 * @returns the newer list, or the one that was given if the record is in it already
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
