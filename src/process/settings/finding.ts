/** Findings of a check: what is wrong, and where. */
import type { ErrorObject } from 'ajv';

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
 * @returns a finding for each
 * @example
 * listFindings(validate.errors); // [{ pointer: '/tasks/0/kind', message: 'must be string' }]
 */
export function listFindings(errors: readonly ErrorObject[] | null | undefined): Finding[] {
  return (errors ?? []).map(({ instancePath, keyword, params, message }) => {
    if (keyword === 'additionalProperties') {
      return { pointer: `${instancePath}/${String(params['additionalProperty'])}`, message: 'is not known' };
    }
    if (keyword === 'required') {
      return { pointer: `${instancePath}/${String(params['missingProperty'])}`, message: 'is missing' };
    }
    return { pointer: instancePath, message: message ?? keyword };
  });
}
