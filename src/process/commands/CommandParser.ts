/** Grammar of the operators' language; docs/LANGUAGE.md describes every statement. */
import { EmbeddedActionsParser } from 'chevrotain';
import type { IToken } from 'chevrotain';

import type { KindConfig } from '../../version/configState.js';
import type {
  Comparison,
  Condition,
  EventClauses,
  QueryStatement,
  Statement,
  Subject,
  TimeValue,
} from './statement.js';
import {
  Close,
  Comma,
  Compare,
  Duration,
  KEYWORDS,
  Name,
  Numeral,
  Open,
  Plus,
  Text,
  TOKENS,
} from './tokens.js';

const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };

/** Defaults of the properties of a kind. */
const KIND_DEFAULTS: Omit<KindConfig, 'name'> = {
  service: '',
  priority: 5,
  deadlineMs: 10_000,
  repeatable: false,
  expectedMs: 200,
};

const PROPERTY_NAMES: Readonly<Record<string, keyof KindConfig>> = {
  service: 'service',
  priority: 'priority',
  deadline: 'deadlineMs',
  repeatable: 'repeatable',
  expected: 'expectedMs',
};

/** A token that is valid in the grammar but has an invalid value. */
export interface SemanticError {
  readonly column: number;
  readonly message: string;
}

/** Parses one statement; the result is undefined when there are errors. */
export class CommandParser extends EmbeddedActionsParser {
  /** Semantic errors; syntax errors are in `errors`. */
  semanticErrors: SemanticError[] = [];

  constructor() {
    super(TOKENS, { recoveryEnabled: false });
    this.performSelfAnalysis();
  }

  readonly statement = this.RULE('statement', (): Statement => {
    return this.OR([
      { ALT: () => this.SUBRULE(this.declare) },
      { ALT: () => this.SUBRULE(this.change) },
      { ALT: () => this.SUBRULE(this.endEvent) },
      { ALT: () => this.SUBRULE(this.prioritize) },
      { ALT: () => this.SUBRULE(this.changeDomain) },
      { ALT: () => this.SUBRULE(this.query) },
    ]);
  });

  private readonly declare = this.RULE('declare', (): Statement => {
    this.CONSUME(KEYWORDS.declare);
    this.CONSUME(KEYWORDS.event);
    const name = this.SUBRULE(this.name);
    const clauses = this.SUBRULE(this.clauses);
    return { type: 'declare', name, clauses };
  });

  private readonly change = this.RULE('change', (): Statement => {
    this.CONSUME(KEYWORDS.change);
    this.CONSUME(KEYWORDS.event);
    const name = this.SUBRULE(this.name);
    const version = this.SUBRULE(this.version);
    const clauses = this.SUBRULE(this.clauses);
    return { type: 'change', name, version, clauses };
  });

  private readonly endEvent = this.RULE('endEvent', (): Statement => {
    this.CONSUME(KEYWORDS.end);
    this.CONSUME(KEYWORDS.event);
    const name = this.SUBRULE(this.name);
    const version = this.SUBRULE(this.version);
    let at: TimeValue = { type: 'now', plusMs: 0 };
    this.OPTION(() => {
      this.CONSUME(KEYWORDS.at);
      at = this.SUBRULE(this.time);
    });
    return { type: 'end', name, version, at };
  });

  private readonly prioritize = this.RULE('prioritize', (): Statement => {
    this.CONSUME(KEYWORDS.prioritize);
    this.CONSUME(KEYWORDS.kind);
    const kind = this.SUBRULE(this.name);
    this.CONSUME(KEYWORDS.of);
    const name = this.SUBRULE2(this.name);
    this.CONSUME(KEYWORDS.as);
    const priority = this.SUBRULE(this.number);
    const version = this.SUBRULE(this.version);
    return { type: 'prioritize', name, kind, priority, version };
  });

  private readonly changeDomain = this.RULE('changeDomain', (): Statement => {
    const type = this.OR([
      { ALT: () => (this.CONSUME(KEYWORDS.evacuate), 'evacuate' as const) },
      { ALT: () => (this.CONSUME(KEYWORDS.restore), 'restore' as const) },
    ]);
    this.CONSUME(KEYWORDS.domain);
    return { type, failureDomain: this.SUBRULE(this.name) };
  });

  private readonly query = this.RULE('query', (): Statement => {
    const action = this.OR([
      { ALT: () => (this.CONSUME(KEYWORDS.list), 'list' as const) },
      { ALT: () => (this.CONSUME(KEYWORDS.count), 'count' as const) },
    ]);
    const subject = this.SUBRULE(this.subject);
    const conditions: Condition[] = [];
    this.OPTION(() => {
      this.CONSUME(KEYWORDS.where);
      this.AT_LEAST_ONE_SEP({ SEP: KEYWORDS.and, DEF: () => conditions.push(this.SUBRULE(this.condition)) });
    });
    let order: QueryStatement['order'];
    this.OPTION2(() => {
      this.CONSUME(KEYWORDS.order);
      this.CONSUME(KEYWORDS.by);
      order = this.SUBRULE(this.sorting);
    });
    let limit: number | undefined;
    this.OPTION3(() => {
      this.CONSUME(KEYWORDS.limit);
      limit = this.SUBRULE(this.number);
    });
    return { type: 'query', action, subject, conditions, order, limit };
  });

  private readonly sorting = this.RULE('sorting', () => {
    const field = this.SUBRULE(this.name);
    let descending = false;
    this.OPTION(() => {
      this.OR([
        { ALT: () => this.CONSUME(KEYWORDS.asc) },
        {
          ALT: () => {
            this.CONSUME(KEYWORDS.desc);
            descending = true;
          },
        },
      ]);
    });
    return { field, descending };
  });

  private readonly subject = this.RULE('subject', (): Subject => {
    const token = this.CONSUME(Name);
    return this.ACTION(() => this.readSubject(token));
  });

  private readonly condition = this.RULE('condition', (): Condition => {
    const field = this.SUBRULE(this.name);
    const comparison = this.CONSUME(Compare).image as Comparison;
    const value = this.SUBRULE(this.value);
    return { field, comparison, value };
  });

  private readonly value = this.RULE('value', (): string | number => {
    return this.OR([
      { ALT: () => this.SUBRULE(this.duration) },
      { ALT: () => this.SUBRULE(this.number) },
      { ALT: () => this.SUBRULE(this.name) },
    ]);
  });

  private readonly clauses = this.RULE('clauses', (): EventClauses => {
    let start: TimeValue | undefined;
    let end: TimeValue | undefined;
    let services: string[] | undefined;
    let kinds: KindConfig[] | undefined;
    this.MANY(() => {
      this.OR([
        { ALT: () => (this.CONSUME(KEYWORDS.start), (start = this.SUBRULE(this.time))) },
        { ALT: () => (this.CONSUME(KEYWORDS.end), (end = this.SUBRULE2(this.time))) },
        { ALT: () => (this.CONSUME(KEYWORDS.services), (services = this.SUBRULE(this.names))) },
        { ALT: () => (this.CONSUME(KEYWORDS.kinds), (kinds = this.SUBRULE(this.kindList))) },
      ]);
    });
    return { start, end, services, kinds };
  });

  private readonly names = this.RULE('names', (): string[] => {
    const names: string[] = [];
    this.AT_LEAST_ONE_SEP({ SEP: Comma, DEF: () => names.push(this.SUBRULE(this.name)) });
    return names;
  });

  private readonly kindList = this.RULE('kindList', (): KindConfig[] => {
    const kinds: KindConfig[] = [];
    this.AT_LEAST_ONE_SEP({ SEP: Comma, DEF: () => kinds.push(this.SUBRULE(this.kindSpec)) });
    return kinds;
  });

  private readonly kindSpec = this.RULE('kindSpec', (): KindConfig => {
    const name = this.SUBRULE(this.name);
    const properties: Record<string, unknown> = {};
    this.OPTION(() => {
      this.CONSUME(Open);
      this.MANY_SEP({ SEP: Comma, DEF: () => this.SUBRULE(this.property, { ARGS: [properties] }) });
      this.CONSUME(Close);
    });
    return { ...KIND_DEFAULTS, ...properties, name };
  });

  private readonly property = this.RULE('property', (properties: Record<string, unknown>): void => {
    const token = this.CONSUME(Name);
    this.CONSUME(Compare);
    const value = this.SUBRULE(this.value);
    this.ACTION(() => this.readProperty(token, value, properties));
  });

  private readonly time = this.RULE('time', (): TimeValue => {
    return this.OR([
      { ALT: () => this.SUBRULE(this.relativeTime) },
      {
        ALT: () => {
          const ms = this.SUBRULE(this.number);
          return { type: 'at', ms };
        },
      },
      {
        ALT: () => {
          const token = this.CONSUME(Text);
          return this.ACTION(() => this.readIsoTime(token));
        },
      },
    ]);
  });

  private readonly relativeTime = this.RULE('relativeTime', (): TimeValue => {
    this.CONSUME(KEYWORDS.now);
    let plusMs = 0;
    this.OPTION(() => {
      this.CONSUME(Plus);
      plusMs = this.SUBRULE(this.duration);
    });
    return { type: 'now', plusMs };
  });

  private readonly version = this.RULE('version', (): number => {
    this.CONSUME(KEYWORDS.version);
    return this.SUBRULE(this.number);
  });

  private readonly name = this.RULE('name', (): string => {
    return this.OR([
      { ALT: () => this.CONSUME(Name).image },
      {
        ALT: () => {
          const token = this.CONSUME(Text);
          return this.ACTION(() => JSON.parse(token.image) as string);
        },
      },
    ]);
  });

  private readonly number = this.RULE('number', (): number => Number(this.CONSUME(Numeral).image));

  private readonly duration = this.RULE('duration', (): number => {
    const { image } = this.CONSUME(Duration);
    return this.ACTION(() => {
      const unit = /[a-z]+$/.exec(image)?.[0] ?? 'ms';
      return Number.parseFloat(image) * (UNIT_MS[unit] ?? 1);
    });
  });

  private readSubject(token: IToken): Subject {
    const subjects = ['jobs', 'tasks', 'agents', 'events', 'kinds', 'entries', 'registrars', 'domains'];
    const image = token.image.toLowerCase();
    if (!subjects.includes(image)) this.addError(token, `expected one of ${subjects.join(', ')}`);
    return image as Subject;
  }

  private readProperty(token: IToken, value: string | number, properties: Record<string, unknown>): void {
    const key = PROPERTY_NAMES[token.image];
    if (!key) return this.addError(token, `expected one of ${Object.keys(PROPERTY_NAMES).join(', ')}`);
    if (key === 'repeatable') {
      if (value !== 'yes' && value !== 'no') return this.addError(token, 'repeatable is yes or no');
      properties[key] = value === 'yes';
      return;
    }
    const isText = key === 'service';
    if (isText !== (typeof value === 'string')) {
      return this.addError(token, `${token.image} wants ${isText ? 'a name' : 'a number or duration'}`);
    }
    properties[key] = value;
  }

  private readIsoTime(token: IToken): TimeValue {
    const ms = Date.parse(JSON.parse(token.image) as string);
    if (Number.isNaN(ms)) this.addError(token, 'expected an ISO 8601 time');
    return { type: 'at', ms };
  }

  private addError(token: IToken, message: string): void {
    this.semanticErrors.push({ column: token.startColumn ?? 1, message });
  }
}
