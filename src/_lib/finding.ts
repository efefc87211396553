/** Findings of a check: what is wrong, and where. */
import type { ErrorObject } from 'ajv';

/** Most findings that are told of one input: a hostile one must not make its answer or a log line long. */
const MAX_FINDINGS = 20;

/** One thing that is wrong with an input. */
export interface Finding {
  /** JSON pointer to the place. */
  readonly pointer: string;
  readonly message: string;
}

/**
 * Turns the errors of a schema check into findings, each at the place that has to be changed.
 *
 * @param errors - of one validation
 * @returns a finding for each of the first ones
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
 * Renders findings for a log line or an error.
 *
 * @param findings - what is wrong
 * @returns one text with the place and the fault of each
 * @example
 * renderFindings([{ pointer: '/spec', message: 'must be string' }]); // '/spec: must be string'
 */
export function renderFindings(findings: readonly Finding[]): string {
  return findings.map(({ pointer, message }) => `${pointer || '/'}: ${message}`).join('; ');
}
