import { splitAddress } from './splitAddress.js';

/** Largest port of TCP. */
const MAX_PORT = 65_535;

/**
 * Checks whether a connection to an address can be tried.
 *
 * @param address - `host:port`
 * @returns false if the host is empty or the port is none
 * @example
 * isDialable('10.1.0.13:99999'); // false
 */
export function isDialable(address: string): boolean {
  const { host, port } = splitAddress(address);
  return host !== '' && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}
