import type { ValidateFunction } from 'ajv';

import { listFindings, renderFindings } from '../../_lib/finding.js';
import { isDialable } from '../isDialable.js';
import { buildValidatorName } from './buildValidatorName.js';
import type { MessageFault } from './MessageFault.js';
import type { AttemptName, WireMessage } from './peerMessages.js';
import { MESSAGE_SCHEMAS } from './peerSchemas.js';
import type { MessageSchema } from './peerSchemas.js';
import * as generated from './peerValidators.generated.js';

/** The parsed message, and what of it could not be read. */
export interface PeerMessageParse {
  /** Undefined for none that can be used; one of an unknown type, from a newer version, is ignored. */
  readonly message: WireMessage | undefined;
  /** Parts that could not be read, and were left out or replaced. */
  readonly faults: readonly MessageFault[];
  /** Why the link cannot be used; empty otherwise. */
  readonly problem: string;
}

type MessageFields = Record<string, unknown>;

/** Part of a message that is checked on its own. */
interface PartCheck {
  readonly field: string;
  readonly validate: ValidateFunction;
}

/** Checks of one type of messages. */
interface MessageChecks {
  readonly validate: ValidateFunction;
  readonly optional: readonly PartCheck[];
  readonly replaceable: readonly (PartCheck & { readonly replacement: unknown })[];
  readonly rows: readonly PartCheck[];
}

const VALIDATORS: Readonly<Record<string, ValidateFunction | undefined>> = { ...generated };

const CHECKS: ReadonlyMap<string, MessageChecks> = new Map(
  Object.entries(MESSAGE_SCHEMAS).map(([type, schema]) => [type, createChecks(type, schema)]),
);

/** Messages without which nothing is known of the peer, so that its link cannot be used. */
const OPENING_TYPES: ReadonlySet<string> = new Set<WireMessage['type']>([
  'agent-hello',
  'entry-welcome',
  'entry-hello',
]);

/** Most rows of a message that are left out; no process of this program sends any. */
const MAX_UNREADABLE_ROWS = 1_000;
const TOO_MANY_ROWS = 'too many rows that cannot be read';

/**
 * Parses and validates one line of a link. A part that stands alone and cannot be read is left out or replaced.
 *
 * @param line - JSON text without the line break
 * @returns the message, and what of it could not be read
 * @example
 * parsePeerMessage('{"type":"later"}'); // { message: undefined, faults: [], problem: '' }
 */
export function parsePeerMessage(line: string): PeerMessageParse {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    return describeUnusable('not JSON');
  }
  if (typeof value !== 'object' || value === null) return describeUnusable('not a message');
  const fields = value as MessageFields;
  const { type } = fields;
  if (typeof type !== 'string') return describeUnusable('not a message');
  const checks = CHECKS.get(type);
  if (!checks) return { message: undefined, faults: [], problem: '' };
  const faults = checkParts(type as WireMessage['type'], fields, checks);
  if (faults.some(({ problem }) => problem === TOO_MANY_ROWS)) return describeUnusable(TOO_MANY_ROWS);
  if (checks.validate(fields)) {
    return { message: dropUndialable(fields as unknown as WireMessage), faults, problem: '' };
  }
  const problem = describeErrors(checks.validate);
  if (OPENING_TYPES.has(type)) return describeUnusable(`invalid ${type} message: ${problem}`);
  return { message: undefined, faults: [...faults, describeLost(fields, problem)], problem: '' };
}

function createChecks(type: string, { optional, replaceable, rows }: MessageSchema): MessageChecks {
  const createPart = (field: string, ...path: readonly string[]): PartCheck => {
    return { field, validate: findValidator(buildValidatorName(type, field, ...path)) };
  };
  return {
    validate: findValidator(buildValidatorName(type)),
    optional: Object.keys(optional).map((field) => createPart(field)),
    replaceable: Object.entries(replaceable).map(([field, { replacement }]) => {
      return { ...createPart(field), replacement };
    }),
    rows: Object.keys(rows).map((field) => createPart(field, 'row')),
  };
}

function findValidator(name: string): ValidateFunction {
  const validate = VALIDATORS[name];
  if (!validate) throw new Error(`there is no ${name}: run npm run generate:validators`);
  return validate;
}

/** Leaves out or replaces the parts of a message that cannot be read. */
function checkParts(type: WireMessage['type'], fields: MessageFields, checks: MessageChecks): MessageFault[] {
  const faults: MessageFault[] = [];
  for (const { field, validate } of checks.optional) {
    if (fields[field] === undefined || validate(fields[field])) continue;
    faults.push({ type, field, count: 1, problem: describeErrors(validate) });
    delete fields[field];
  }
  for (const { field, validate, replacement } of checks.replaceable) {
    if (validate(fields[field])) continue;
    faults.push({ type, field, count: 1, problem: describeErrors(validate) });
    fields[field] = replacement;
  }
  for (const { field, validate } of checks.rows) {
    const rows = fields[field];
    if (!Array.isArray(rows)) continue;
    const fault = checkRows(type, fields, { field, validate });
    if (fault) faults.push(fault);
  }
  return faults;
}

/**
 * Leaves out the rows of a list that cannot be read.
 *
 * @returns undefined for none; `problem` is TOO_MANY_ROWS if the list is left as it is
 */
function checkRows(
  type: WireMessage['type'],
  fields: MessageFields,
  { field, validate }: PartCheck,
): MessageFault | undefined {
  const kept: unknown[] = [];
  const unreadable: unknown[] = [];
  let problem = '';
  for (const row of fields[field] as unknown[]) {
    if (validate(row)) {
      kept.push(row);
      continue;
    }
    if (unreadable.length === 0) problem = describeErrors(validate);
    unreadable.push(row);
    if (unreadable.length > MAX_UNREADABLE_ROWS)
      return { type, field, count: unreadable.length, problem: TOO_MANY_ROWS };
  }
  if (unreadable.length === 0) return undefined;
  fields[field] = kept;
  const fault = { type, field, count: unreadable.length, problem };
  return type === 'starts' ? { ...fault, starts: findStarts(fields, unreadable) } : fault;
}

/** Finds the names of starts in rows of a batch, as far as they can be read. */
function findStarts({ job }: MessageFields, rows: readonly unknown[]): AttemptName[] {
  return rows.flatMap((row) => findAttempt({ job, ...toObject(row) }));
}

/** Describes a message that is left out as a whole. */
function describeLost(fields: MessageFields, problem: string): MessageFault {
  const type = fields['type'] as WireMessage['type'];
  if (type === 'starts') {
    const tasks: unknown[] = Array.isArray(fields['tasks']) ? fields['tasks'] : [];
    return { type, field: '', count: tasks.length, problem, starts: findStarts(fields, tasks) };
  }
  const fault = { type, field: '', count: 1, problem };
  return type === 'start' ? { ...fault, starts: findAttempt(fields['name']) } : fault;
}

/** Finds the name of an attempt whose start cannot be read otherwise; empty for none. */
function findAttempt(name: unknown): AttemptName[] {
  return generated.validateAttemptName(name) ? [name as unknown as AttemptName] : [];
}

function toObject(value: unknown): object {
  return typeof value === 'object' && value !== null ? value : {};
}

function describeErrors(validate: ValidateFunction): string {
  return renderFindings(listFindings(validate.errors));
}

function describeUnusable(problem: string): PeerMessageParse {
  return { message: undefined, faults: [], problem };
}

/** Leaves out members that cannot be dialed: their sender may have heard of them elsewhere. */
function dropUndialable(message: WireMessage): WireMessage {
  if (message.type !== 'members') return message;
  return { ...message, entries: message.entries.filter(({ address }) => isDialable(address)) };
}
