/** Parsed statements of the operators' language. */
import type { KindConfig } from '../../version/configState.js';

/** A point in time: ms since the epoch, or an offset from the time of execution. */
export type TimeValue =
  { readonly type: 'at'; readonly ms: number } | { readonly type: 'now'; readonly plusMs: number };

/** Properties of an event in a command; undefined leaves the property unchanged. */
export interface EventClauses {
  readonly start: TimeValue | undefined;
  readonly end: TimeValue | undefined;
  readonly services: readonly string[] | undefined;
  readonly kinds: readonly KindConfig[] | undefined;
}

/** Subjects that can be listed and counted. */
export type Subject = 'jobs' | 'tasks' | 'agents' | 'events' | 'kinds' | 'entries' | 'registrars' | 'domains';

/** Comparison operators; `~` means "contains". */
export type Comparison = '=' | '!=' | '<' | '<=' | '>' | '>=' | '~';

/** A condition on one column. */
export interface Condition {
  readonly field: string;
  readonly comparison: Comparison;
  readonly value: string | number;
}

/** A query: lists or counts the rows that meet all conditions. */
export interface QueryStatement {
  readonly type: 'query';
  readonly action: 'list' | 'count';
  readonly subject: Subject;
  readonly conditions: readonly Condition[];
  readonly order: { readonly field: string; readonly descending: boolean } | undefined;
  readonly limit: number | undefined;
}

/** A command that creates an event. */
export interface DeclareStatement {
  readonly type: 'declare';
  readonly name: string;
  readonly clauses: EventClauses;
}

/** A command that changes an event if it is still at `version`. */
export interface ChangeStatement {
  readonly type: 'change';
  readonly name: string;
  readonly version: number;
  readonly clauses: EventClauses;
}

/** A command that ends an event if it is still at `version`. */
export interface EndStatement {
  readonly type: 'end';
  readonly name: string;
  readonly version: number;
  readonly at: TimeValue;
}

/** A command that sets the priority of one kind of an event. */
export interface PrioritizeStatement {
  readonly type: 'prioritize';
  readonly name: string;
  readonly kind: string;
  readonly priority: number;
  readonly version: number;
}

/** A command that evacuates a failure domain, or restores it. */
export interface DomainStatement {
  readonly type: 'evacuate' | 'restore';
  readonly failureDomain: string;
}

/** A command on an event. */
export type EventStatement = DeclareStatement | ChangeStatement | EndStatement | PrioritizeStatement;

/** A command that is appended to the log. */
export type CommandStatement = EventStatement | DomainStatement;

/** Any statement of the language. */
export type Statement = QueryStatement | CommandStatement;
