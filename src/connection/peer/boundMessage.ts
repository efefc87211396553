import type { MessageFault } from './MessageFault.js';
import type { WireMessage } from './peerMessages.js';
import { MESSAGE_SCHEMAS } from './peerSchemas.js';
import type { MessageSchema } from './peerSchemas.js';

/** A bounded message, and which of its numbers had to be changed. */
export interface BoundedMessage {
  readonly message: WireMessage;
  readonly faults: readonly MessageFault[];
}

/** Bounds the numbers in a value; returns the value itself if all are within their bounds. */
type Bounder = (value: unknown) => unknown;

/** The parts of JSON schemas in which numbers are bounded. */
interface BoundedSchema {
  readonly type?: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly properties?: Readonly<Record<string, object>>;
  readonly items?: object;
}

const BOUNDERS: ReadonlyMap<string, ReadonlyMap<string, Bounder>> = new Map(
  Object.entries(MESSAGE_SCHEMAS).map(([type, schema]) => [type, createMessageBounders(schema)]),
);

/**
 * Bounds the numbers of a message to what its receiver accepts. They may be sums, differences or ratios of what others
 * have sent, and JSON has no text for a number that is not finite.
 *
 * @param message - a message to be written
 * @returns the message itself if all of its numbers are within their bounds
 * @example
 * boundMessage({ type: 'demand', waitingCpuMilli: Infinity }).message; // its amount is the largest that is accepted
 */
export function boundMessage(message: WireMessage): BoundedMessage {
  const faults: MessageFault[] = [];
  let bounded: Record<string, unknown> = message as unknown as Record<string, unknown>;
  for (const [field, bound] of BOUNDERS.get(message.type) ?? []) {
    const value = bounded[field];
    const replacement = bound(value);
    if (Object.is(replacement, value)) continue;
    bounded = { ...bounded, [field]: replacement };
    faults.push({ type: message.type, field, count: 1, problem: 'is out of bounds' });
  }
  return { message: bounded as unknown as WireMessage, faults };
}

function createMessageBounders({
  required,
  optional,
  replaceable,
  rows,
}: MessageSchema): Map<string, Bounder> {
  const replaced = Object.entries(replaceable).map(([field, { schema }]) => [field, schema] as const);
  const fields = [...Object.entries(required), ...Object.entries(optional), ...replaced];
  const lists = Object.entries(rows).map(([field, items]) => [field, { type: 'array', items }] as const);
  return createFieldBounders([...fields, ...lists] as [string, object][]);
}

function createFieldBounders(schemas: readonly (readonly [string, object])[]): Map<string, Bounder> {
  const bounders = new Map<string, Bounder>();
  for (const [field, schema] of schemas) {
    const bounder = createBounder(schema);
    if (bounder) bounders.set(field, bounder);
  }
  return bounders;
}

/** Creates the bounder of values of a schema; undefined if they hold no numbers. */
function createBounder(schema: BoundedSchema): Bounder | undefined {
  if (schema.type === 'number' || schema.type === 'integer') return createNumberBounder(schema);
  if (schema.items) return createListBounder(schema.items);
  if (schema.properties) return createObjectBounder(schema.properties);
  return undefined;
}

function createNumberBounder({ type, minimum, maximum }: BoundedSchema): Bounder {
  const lowest = minimum ?? -Number.MAX_VALUE;
  const highest = maximum ?? Number.MAX_VALUE;
  const isWhole = type === 'integer';
  return (value) => {
    if (typeof value !== 'number') return value;
    if (value >= lowest && value <= highest && (!isWhole || Number.isInteger(value))) return value;
    if (Number.isNaN(value)) return Math.max(0, lowest);
    const bounded = Math.min(highest, Math.max(lowest, value));
    return isWhole ? Math.round(bounded) : bounded;
  };
}

function createListBounder(items: object): Bounder | undefined {
  const bound = createBounder(items);
  if (!bound) return undefined;
  return (value) => {
    if (!Array.isArray(value)) return value;
    const bounded = value.map(bound);
    return bounded.some((row, index) => !Object.is(row, value[index])) ? bounded : value;
  };
}

function createObjectBounder(properties: Readonly<Record<string, object>>): Bounder | undefined {
  const bounders = createFieldBounders(Object.entries(properties));
  if (bounders.size === 0) return undefined;
  return (value) => {
    if (typeof value !== 'object' || value === null) return value;
    let bounded = value as Readonly<Record<string, unknown>>;
    for (const [field, bound] of bounders) {
      const before = bounded[field];
      const replacement = bound(before);
      if (!Object.is(replacement, before)) bounded = { ...bounded, [field]: replacement };
    }
    return bounded;
  };
}
