import type { ValidateFunction } from 'ajv';

import { listFindings, renderFindings } from '../../_lib/finding.js';
import type { WireMessage } from './peerMessages.js';
import * as validators from './peerValidators.generated.js';

/** A message, or why the line is none. */
export interface PeerMessageParse {
  readonly message: WireMessage | undefined;
  /** Empty where there is a message, or one of a type that only newer versions know, which is passed over. */
  readonly problem: string;
}

const VALIDATORS: Readonly<Record<WireMessage['type'], ValidateFunction>> = {
  'agent-hello': validators.validateAgentHello,
  'entry-welcome': validators.validateEntryWelcome,
  'entry-hello': validators.validateEntryHello,
  ping: validators.validatePing,
  pong: validators.validatePong,
  demand: validators.validateDemand,
  room: validators.validateRoom,
  start: validators.validateStart,
  starts: validators.validateStarts,
  stop: validators.validateStop,
  result: validators.validateResult,
  crashes: validators.validateCrashes,
  suspects: validators.validateSuspects,
  'configuration-request': validators.validateConfigurationRequest,
  configuration: validators.validateConfiguration,
  'configuration-summary': validators.validateConfigurationSummary,
  'configuration-piece': validators.validateConfigurationPiece,
  'emptied-request': validators.validateEmptiedRequest,
  emptied: validators.validateEmptied,
  members: validators.validateMembers,
};

/**
 * Reads one line of a link.
 *
 * @param line - JSON text without its end of line
 * @returns the message, or why the link is not to be trusted any more
 * @example
 * parsePeerMessage('{"type":"later"}'); // { message: undefined, problem: '' }
 */
export function parsePeerMessage(line: string): PeerMessageParse {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    return { message: undefined, problem: 'not JSON' };
  }
  if (typeof value !== 'object' || value === null) return { message: undefined, problem: 'not a message' };
  const { type } = value as { readonly type?: unknown };
  if (typeof type !== 'string') return { message: undefined, problem: 'not a message' };
  if (!Object.hasOwn(VALIDATORS, type)) return { message: undefined, problem: '' };
  const validate = VALIDATORS[type as WireMessage['type']];
  if (validate(value)) return { message: value as unknown as WireMessage, problem: '' };
  return { message: undefined, problem: `a wrong ${type}: ${renderFindings(listFindings(validate.errors))}` };
}
