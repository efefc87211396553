import { readFileSync } from 'node:fs';

import { Ajv } from 'ajv';

import { SettingsError } from '../../_lib/errors.js';
import type { DispatchSettings } from './dispatchSettings.js';
import { DISPATCH_SCHEMA } from './dispatchSchema.js';
import { listFindings } from './finding.js';
import type { Finding } from './finding.js';

// The schema is ours and tested: checking it against the meta schema at every start takes 95 ms (docs/MEASUREMENTS.md).
const ajv = new Ajv({ allErrors: true, useDefaults: true, validateSchema: false, meta: false });
const validate = ajv.compile(DISPATCH_SCHEMA);

/** Settings, or everything that is wrong with them. */
export type DispatchSettingsCheck =
  | { readonly ok: true; readonly settings: DispatchSettings }
  | { readonly ok: false; readonly findings: readonly Finding[] };

/**
 * Checks the settings of a dispatcher or executor and fills in the defaults.
 *
 * @param input - parsed JSON
 * @returns the settings, or every finding
 * @example
 * checkDispatchSettings({}); // { ok: false, findings: [{ pointer: '/id', message: 'is missing' }, ...] }
 */
export function checkDispatchSettings(input: unknown): DispatchSettingsCheck {
  const copy: unknown = structuredClone(input);
  if (!validate(copy)) return { ok: false, findings: listFindings(validate.errors) };
  const settings = copy as DispatchSettings;
  const findings = findContradictions(settings);
  return findings.length > 0 ? { ok: false, findings } : { ok: true, settings };
}

/**
 * Reads and checks a settings file.
 *
 * @param file - path of a JSON file
 * @returns the settings
 * @throws SettingsError that lists every finding with file and pointer
 */
export function readDispatchSettings(file: string): DispatchSettings {
  const check = checkDispatchSettings(parseFile(file));
  if (check.ok) return check.settings;
  const lines = check.findings.map(({ pointer, message }) => `${file}#${pointer || '/'}: ${message}`);
  throw new SettingsError(lines.join('\n'));
}

function parseFile(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8'));
  } catch (cause) {
    throw new SettingsError(`${file}#/: is not a readable JSON file`, { cause });
  }
}

/** Whatever an entry leaves behind must be gone before its callers submit again. */
function findContradictions({ maxLeaseMs, stopMs, resubmitMs }: DispatchSettings): Finding[] {
  const shortest = (MIN_LEASE_MS + stopMs) * 2;
  if (resubmitMs >= shortest && maxLeaseMs >= MIN_LEASE_MS) return [];
  const message = `must leave room for a lease of ${MIN_LEASE_MS} ms and /stopMs, twice`;
  return [{ pointer: resubmitMs < shortest ? '/resubmitMs' : '/maxLeaseMs', message }];
}

/** Shortest lease that a busy machine can still renew in time, ms. */
const MIN_LEASE_MS = 200;
