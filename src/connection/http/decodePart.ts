/**
 * Decodes a part of a path.
 *
 * @param part - the part, with percent signs as the client sent them
 * @returns the text; undefined when it is malformed
 * @example
 * decodePart('a%20b'); // 'a b'
 */
export function decodePart(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    // A client may send any percent signs.
    return undefined;
  }
}
