/** The operators' language after parsing. */
import type { KindConfig } from '../../version/configState.js';

/** A point in time: ms since the epoch, or relative to when the command is run. */
export type TimeValue =
  { readonly type: 'at'; readonly ms: number } | { readonly type: 'now'; readonly plusMs: number };

/** What an operator says about an event; undefined leaves it as it is. */
export interface EventClauses {
  readonly start: TimeValue | undefined;
  readonly end: TimeValue | undefined;
  readonly services: readonly string[] | undefined;
  readonly kinds: readonly KindConfig[] | undefined;
}

/** What can be listed and counted. */
export type Subject = 'jobs' | 'tasks' | 'agents' | 'events' | 'kinds' | 'entries' | 'registrars' | 'domains';

/** Comparisons of a condition; `~` is "contains". */
export type Comparison = '=' | '!=' | '<' | '<=' | '>' | '>=' | '~';

/** A condition on one column. */
export interface Condition {
  readonly field: string;
  readonly comparison: Comparison;
  readonly value: string | number;
}

/** A query. */
export interface QueryStatement {
  readonly type: 'query';
  readonly action: 'list' | 'count';
  readonly subject: Subject;
  readonly conditions: readonly Condition[];
  readonly order: { readonly field: string; readonly descending: boolean } | undefined;
  readonly limit: number | undefined;
}

/** A command that makes a new event. */
export interface DeclareStatement {
  readonly type: 'declare';
  readonly name: string;
  readonly clauses: EventClauses;
}

/** A command that changes an event, decided on one of its versions. */
export interface ChangeStatement {
  readonly type: 'change';
  readonly name: string;
  readonly version: number;
  readonly clauses: EventClauses;
}

/** A command that ends an event. */
export interface EndStatement {
  readonly type: 'end';
  readonly name: string;
  readonly version: number;
  readonly at: TimeValue;
}

/** A command that sets the priority of one kind. */
export interface PrioritizeStatement {
  readonly type: 'prioritize';
  readonly name: string;
  readonly kind: string;
  readonly priority: number;
  readonly version: number;
}

/** A command that empties a failure domain, or takes it back. */
export interface DomainStatement {
  readonly type: 'evacuate' | 'restore';
  readonly failureDomain: string;
}

/** A command on an event. */
export type EventStatement = DeclareStatement | ChangeStatement | EndStatement | PrioritizeStatement;

/** A command that goes to the log. */
export type CommandStatement = EventStatement | DomainStatement;

/** Any statement of the language. */
export type Statement = QueryStatement | CommandStatement;
