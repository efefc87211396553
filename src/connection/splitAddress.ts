/** Host and port of an address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address into host and port.
 *
 * @param address - `host:port`
 * @returns host and port; the port is NaN when it is not a number
 * @example
 * splitAddress('10.1.0.13:8161'); // { host: '10.1.0.13', port: 8161 }
 */
export function splitAddress(address: string): HostPort {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
