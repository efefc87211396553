/**
 * Encoding of configurations between processes: JSON, compressed with deflate and encoded as base64.
 * Processes that use no routes store and forward the encoded text.
 */
import { deflateSync, inflateSync } from 'node:zlib';

import { listFindings, renderFindings } from '../../_lib/finding.js';
import type { Configuration } from '../../version/configuration.js';
import type { ConfigurationNotice } from './peerMessages.js';
import * as validators from './peerValidators.generated.js';

/** Longest JSON text, bytes; guards against decompression bombs. */
const MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024;
/** Deflate level; low, as compression blocks the event loop and higher levels save few bytes. */
const COMPRESSION_LEVEL = 3;

/** The decoded configuration, or why the text is invalid. */
export type ConfigurationDecodeResult =
  | { readonly ok: true; readonly configuration: Configuration }
  | { readonly ok: false; readonly problem: string };

/**
 * Encodes a configuration.
 *
 * @param configuration - the configuration
 * @returns base64 text
 */
export function encodeConfiguration(configuration: Configuration): string {
  return deflateSync(JSON.stringify(configuration), { level: COMPRESSION_LEVEL }).toString('base64');
}

/**
 * Decodes and validates a configuration received from a peer.
 *
 * @param text - base64 text
 * @returns the configuration, or why the text is invalid
 * @example
 * decodeConfiguration(encodeConfiguration(configuration)); // { ok: true, configuration }
 */
export function decodeConfiguration(text: string): ConfigurationDecodeResult {
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
 * Checks that an encoded text is complete, by its checksum, without parsing the configuration.
 *
 * @param text - base64 text
 * @returns the error, or an empty string if the text is complete
 */
export function checkEncodedConfiguration(text: string): string {
  try {
    decodeBytes(text);
    return '';
  } catch (error) {
    return String(error);
  }
}

function decodeBytes(text: string): Buffer {
  return inflateSync(Buffer.from(text, 'base64'), { maxOutputLength: MAX_DECOMPRESSED_BYTES });
}
