import type { ValidateFunction } from 'ajv';

import { listFindings, renderFindings } from '../../_lib/finding.js';
import { isDialable } from '../isDialable.js';
import type { WireMessage } from './peerMessages.js';
import * as validators from './peerValidators.generated.js';

/** The parsed message, or why the line is invalid. */
export interface PeerMessageParse {
  readonly message: WireMessage | undefined;
  /** Empty when the line is valid; a message of an unknown type, from a newer version, is ignored. */
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
  cancelled: validators.validateCancelled,
  'configuration-request': validators.validateConfigurationRequest,
  configuration: validators.validateConfiguration,
  'configuration-summary': validators.validateConfigurationSummary,
  'configuration-piece': validators.validateConfigurationPiece,
  'emptied-request': validators.validateEmptiedRequest,
  emptied: validators.validateEmptied,
  members: validators.validateMembers,
};

/**
 * Parses and validates one line of a link.
 *
 * @param line - JSON text without the line break
 * @returns the message, or why the line is invalid
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
  if (validate(value)) return { message: dropUndialable(value as unknown as WireMessage), problem: '' };
  return {
    message: undefined,
    problem: `invalid ${type} message: ${renderFindings(listFindings(validate.errors))}`,
  };
}

/** Leaves out members that cannot be dialed: their sender may have heard of them elsewhere. */
function dropUndialable(message: WireMessage): WireMessage {
  if (message.type !== 'members') return message;
  return { ...message, entries: message.entries.filter(({ address }) => isDialable(address)) };
}
