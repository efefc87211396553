/** Limits of what clients make a process keep before they are admitted, as derived from the size of the VM. */

/** Limits of one process. */
export interface InputLimits {
  /** Most memory of unadmitted input, bytes. */
  readonly maxBytes: number;
  /** Most accepted connections, without admitted links. */
  readonly maxConnections: number;
  /** Most admitted links. */
  readonly maxLinks: number;
}

/** Size of a VM, and settings that go before what is derived from it. */
export interface InputSettings {
  /** Memory of the VM, MiB. */
  readonly memoryMb: number;
  /** Descriptors that the process may open. */
  readonly maxDescriptors: number;
  /** Most memory of unadmitted input, bytes; 0 to derive it. */
  readonly maxInputBytes: number;
}

const MEBIBYTE = 1_024 * 1_024;
/** Share of the memory for unadmitted input. The program, admitted jobs and garbage need the rest. */
const MEMORY_SHARE = 1 / 8;
/** Descriptors that are not for sockets; the platform keeps as many for files. */
const FILE_DESCRIPTORS = 200;
/** Share of the sockets that connections of clients may use; links, the store and upstreams keep the rest. */
const CONNECTION_SHARE = 2 / 3;
/** Share of the sockets that links may use. */
const LINK_SHARE = 1 / 4;

/**
 * Derives the limits of a process from the size of its VM.
 *
 * @param settings - size of the VM
 * @returns the limits
 * @example
 * deriveInputLimits({ memoryMb: 160, maxDescriptors: 4_100, maxInputBytes: 0 }).maxConnections; // 2600
 */
export function deriveInputLimits({ memoryMb, maxDescriptors, maxInputBytes }: InputSettings): InputLimits {
  const sockets = maxDescriptors - FILE_DESCRIPTORS;
  return {
    maxBytes: maxInputBytes > 0 ? maxInputBytes : Math.floor(memoryMb * MEBIBYTE * MEMORY_SHARE),
    maxConnections: Math.floor(sockets * CONNECTION_SHARE),
    maxLinks: Math.floor(sockets * LINK_SHARE),
  };
}
