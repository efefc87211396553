import { AGENT_SCHEMA, ENTRY_SCHEMA, PLATFORM_SCHEMA, UPSTREAM_SCHEMA } from './schema.js';
import type { Role } from './settings.js';

interface Property {
  readonly type?: string;
  readonly default?: unknown;
  readonly enum?: readonly string[];
  readonly properties?: Readonly<Record<string, Property>>;
}

const SCHEMAS: Readonly<Record<Role, { readonly properties: object }>> = {
  entry: ENTRY_SCHEMA,
  agent: AGENT_SCHEMA,
  platform: PLATFORM_SCHEMA,
  upstream: UPSTREAM_SCHEMA,
};

/**
 * Lists the settings of a role with types and defaults, for `--help`.
 *
 * @param role - the role
 * @returns one line per setting; units are part of the names
 * @example
 * describeSettings('upstream').includes('slots'); // true
 */
export function describeSettings(role: Role): string {
  const properties = SCHEMAS[role].properties as Readonly<Record<string, Property>>;
  return ['settings (JSON):', ...listProperties(properties, '  ')].join('\n');
}

function listProperties(properties: Readonly<Record<string, Property>>, indent: string): string[] {
  return Object.entries(properties).flatMap(([name, property]) => {
    if (property.properties)
      return [`${indent}${name}:`, ...listProperties(property.properties, `${indent}  `)];
    const type = property.enum?.join(' | ') ?? property.type ?? 'any';
    const fallback =
      property.default === undefined ? 'required' : `default ${JSON.stringify(property.default)}`;
    return [`${indent}${name}: ${type}, ${fallback}`];
  });
}
