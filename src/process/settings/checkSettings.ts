import { Ajv } from 'ajv';
import type { ValidateFunction } from 'ajv';

import { listFindings } from '../../_lib/finding.js';
import type { Finding } from '../../_lib/finding.js';
import { AGENT_SCHEMA, ENTRY_SCHEMA, PLATFORM_SCHEMA, UPSTREAM_SCHEMA } from './schema.js';
import type { Role, SettingsByRole } from './settings.js';

const ajv = new Ajv({ allErrors: true, useDefaults: true, allowUnionTypes: true });

const VALIDATORS: Record<Role, ValidateFunction> = {
  entry: ajv.compile(ENTRY_SCHEMA),
  agent: ajv.compile(AGENT_SCHEMA),
  platform: ajv.compile(PLATFORM_SCHEMA),
  upstream: ajv.compile(UPSTREAM_SCHEMA),
};

/** Checked settings, or the list of findings. */
export type SettingsCheck<R extends Role> =
  | { readonly ok: true; readonly settings: SettingsByRole[R] }
  | { readonly ok: false; readonly findings: readonly Finding[] };

/**
 * Checks settings against the schema of their role and fills in the defaults. Unknown keys are findings.
 *
 * @param role - the role
 * @param input - the parsed JSON
 * @returns the settings, or all findings
 * @example
 * checkSettings('upstream', { port: -1 }); // { ok: false, findings: [{ pointer: '/port', ... }] }
 */
export function checkSettings<R extends Role>(role: R, input: unknown): SettingsCheck<R> {
  const copy: unknown = structuredClone(input);
  const validate = VALIDATORS[role];
  if (!validate(copy)) return { ok: false, findings: listFindings(validate.errors) };
  const findings = findContradictions(role, copy as SettingsByRole[R]);
  if (findings.length > 0) return { ok: false, findings };
  return { ok: true, settings: copy as SettingsByRole[R] };
}

/** Finds settings that contradict each other. */
function findContradictions(role: Role, settings: SettingsByRole[Role]): Finding[] {
  const findings: Finding[] = [];
  if (role === 'agent') {
    const { slots, connections } = settings as SettingsByRole['agent'];
    if (slots > connections) findings.push({ pointer: '/slots', message: 'must not exceed /connections' });
  }
  if (role === 'entry') {
    const { removeAfterMs, heartbeatMs, leaseMs, takeoverAfterMs } = settings as SettingsByRole['entry'];
    if (heartbeatMs * 2 > leaseMs) {
      findings.push({ pointer: '/heartbeatMs', message: 'must be at most half of /leaseMs' });
    }
    if (takeoverAfterMs > removeAfterMs) {
      findings.push({ pointer: '/takeoverAfterMs', message: 'must not exceed /removeAfterMs' });
    }
  }
  return findings;
}
