/** Findings of a validation: errors and their locations. */
import type { ErrorObject } from 'ajv';

/** Maximum number of findings per input, which bounds the length of answers and log lines. */
export const MAX_FINDINGS = 20;

/** One error in an input. */
export interface Finding {
  /** JSON pointer to the location. */
  readonly pointer: string;
  readonly message: string;
}

/**
 * Converts the errors of a schema validation to findings.
 *
 * @param errors - errors of one validation
 * @returns the findings, at most `MAX_FINDINGS`
 * @example
 * listFindings(validate.errors); // [{ pointer: '/tasks/0/kind', message: 'must be string' }]
 */
export function listFindings(errors: readonly ErrorObject[] | null | undefined): Finding[] {
  return (errors ?? []).slice(0, MAX_FINDINGS).map(({ instancePath, keyword, params, message }) => {
    if (keyword === 'additionalProperties') {
      return { pointer: `${instancePath}/${String(params['additionalProperty'])}`, message: 'is not known' };
    }
    if (keyword === 'required') {
      return { pointer: `${instancePath}/${String(params['missingProperty'])}`, message: 'is missing' };
    }
    return { pointer: instancePath, message: message ?? keyword };
  });
}

/**
 * Renders findings as text for a log line or an error message.
 *
 * @param findings - the findings
 * @returns one text with the location and message of each finding
 * @example
 * renderFindings([{ pointer: '/spec', message: 'must be string' }]); // '/spec: must be string'
 */
export function renderFindings(findings: readonly Finding[]): string {
  return findings.map(({ pointer, message }) => `${pointer || '/'}: ${message}`).join('; ');
}
