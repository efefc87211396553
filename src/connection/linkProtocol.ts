/** The gRPC method between processes: a bidirectional stream of batches. */
import { Metadata } from '@grpc/grpc-js';
import type { ChannelOptions, MethodDefinition } from '@grpc/grpc-js';

import { decodeBatch, encodeBatch } from './codec.js';
import type { Message } from './messages.js';

/** Path of the method. */
export const LINK_PATH = '/marblehall.Peer/Link';

/** Metadata key of the shared secret. */
const SECRET_KEY = 'marblehall-secret';

/** Largest batch on a link, bytes. */
const MAX_BATCH_BYTES = 32 * 1024 * 1024;

/**
 * Builds the definition of the method for server and client.
 *
 * @param countBytes - called with the size of each sent batch
 * @returns the definition
 */
export function buildLinkMethod(
  countBytes: (bytes: number) => void,
): MethodDefinition<readonly Message[], Message[]> {
  const encode = (messages: readonly Message[]): Buffer => {
    const bytes = encodeBatch(messages);
    countBytes(bytes.length);
    return bytes;
  };
  return {
    path: LINK_PATH,
    requestStream: true,
    responseStream: true,
    requestSerialize: encode,
    requestDeserialize: decodeBatch as never,
    responseSerialize: encode as never,
    responseDeserialize: decodeBatch,
  };
}

/** Channel options of both ends: keepalive pings detect dead peers, and gRPC retries no calls. */
export const LINK_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': MAX_BATCH_BYTES,
  'grpc.max_send_message_length': MAX_BATCH_BYTES,
  'grpc.keepalive_time_ms': 5_000,
  'grpc.keepalive_timeout_ms': 2_000,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.enable_retries': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.use_local_subchannel_pool': 1,
};

/**
 * Builds the metadata of a link with the shared secret.
 *
 * @param secret - secret of the settings
 * @returns the metadata
 */
export function buildLinkMetadata(secret: string): Metadata {
  const metadata = new Metadata();
  metadata.set(SECRET_KEY, secret);
  return metadata;
}

/**
 * Reads the shared secret from the metadata of a link.
 *
 * @param metadata - metadata of the call
 * @returns the secret, or an empty string
 */
export function readLinkSecret(metadata: Metadata): string {
  return String(metadata.get(SECRET_KEY)[0] ?? '');
}
