import { readFileSync } from 'node:fs';

import { SettingsError } from '../../_lib/errors.js';
import type { DispatchSettings } from './dispatchSettings.js';
import { validateDispatchSettings } from './dispatchValidator.generated.js';
import { listFindings } from '../../_lib/finding.js';
import type { Finding } from '../../_lib/finding.js';

/** Checked settings, or the list of findings. */
export type DispatchSettingsCheck =
  | { readonly ok: true; readonly settings: DispatchSettings }
  | { readonly ok: false; readonly findings: readonly Finding[] };

/**
 * Checks the settings of a dispatcher or executor and fills in the defaults.
 *
 * @param input - parsed JSON
 * @returns the settings, or all findings
 * @example
 * checkDispatchSettings({}); // { ok: false, findings: [{ pointer: '/id', message: 'is missing' }, ...] }
 */
export function checkDispatchSettings(input: unknown): DispatchSettingsCheck {
  const copy: unknown = structuredClone(input);
  if (!validateDispatchSettings(copy)) {
    return { ok: false, findings: listFindings(validateDispatchSettings.errors) };
  }
  const settings = copy as unknown as DispatchSettings;
  const findings = findContradictions(settings);
  return findings.length > 0 ? { ok: false, findings } : { ok: true, settings };
}

/**
 * Reads and checks a settings file.
 *
 * @param file - path of a JSON file
 * @returns the settings
 * @throws SettingsError that lists all findings with file and pointer
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

/**
 * Checks that a lease may last `MIN_LEASE_MS`, and that a disconnected caller resubmits its job no sooner
 * than after twice the sum of such a lease and the time to stop a task.
 */
function findContradictions({ maxLeaseMs, stopMs, resubmitMs }: DispatchSettings): Finding[] {
  const shortest = (MIN_LEASE_MS + stopMs) * 2;
  if (resubmitMs >= shortest && maxLeaseMs >= MIN_LEASE_MS) return [];
  const message = `must allow for twice the sum of /stopMs and a lease of ${MIN_LEASE_MS} ms`;
  return [{ pointer: resubmitMs < shortest ? '/resubmitMs' : '/maxLeaseMs', message }];
}

/** Shortest lease that a busy VM can renew in time, ms. */
const MIN_LEASE_MS = 200;
