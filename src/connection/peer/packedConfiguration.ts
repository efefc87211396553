/**
 * A configuration as it travels between processes: its JSON text, deflated, in base64. Processes that use no routes keep
 * it so, and pass it on as it is.
 */
import { deflateSync, inflateSync } from 'node:zlib';

import { listFindings, renderFindings } from '../../_lib/finding.js';
import type { Configuration } from '../../version/configuration.js';
import type { ConfigurationNotice } from './peerMessages.js';
import * as validators from './peerValidators.generated.js';

/** Longest text before it is deflated, bytes: a text that grows without end must not use up the memory. */
const MAX_TEXT_BYTES = 16 * 1024 * 1024;
/** Deflate level: small VMs pack in the loop, and higher levels save few bytes. */
const LEVEL = 3;

/** A configuration, or why the text holds none. */
export type ConfigurationDecode =
  | { readonly ok: true; readonly configuration: Configuration }
  | { readonly ok: false; readonly problem: string };

/**
 * Packs a configuration.
 *
 * @param configuration - any version
 * @returns base64 text
 */
export function encodeConfiguration(configuration: Configuration): string {
  return deflateSync(JSON.stringify(configuration), { level: LEVEL }).toString('base64');
}

/**
 * Unpacks a configuration that a peer has packed.
 *
 * @param text - base64 text
 * @returns the configuration, if the text holds one
 * @example
 * decodeConfiguration(encodeConfiguration(configuration)); // { ok: true, configuration }
 */
export function decodeConfiguration(text: string): ConfigurationDecode {
  let configuration: unknown;
  try {
    configuration = JSON.parse(decodeBytes(text).toString('utf8'));
  } catch (error) {
    return { ok: false, problem: String(error) };
  }
  const notice = { type: 'configuration', configuration };
  if (validators.validateConfiguration(notice))
    return { ok: true, configuration: (notice as unknown as ConfigurationNotice).configuration };
  return { ok: false, problem: renderFindings(listFindings(validators.validateConfiguration.errors)) };
}

/**
 * Tells whether a text came whole, by the checksum in it, without reading what it says.
 *
 * @param text - base64 text
 * @returns what is wrong; empty for nothing
 */
export function checkPacked(text: string): string {
  try {
    decodeBytes(text);
    return '';
  } catch (error) {
    return String(error);
  }
}

function decodeBytes(text: string): Buffer {
  return inflateSync(Buffer.from(text, 'base64'), { maxOutputLength: MAX_TEXT_BYTES });
}
