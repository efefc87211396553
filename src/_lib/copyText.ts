/**
 * Copies a text that is kept for long: a part of a longer text would keep all of it in memory.
 *
 * @param text - part of a longer text
 * @returns the same text, by itself
 * @example
 * copyText('/q/5c0e7a21d94b36f8?long'.slice(3, 19)); // '5c0e7a21d94b36f8'
 */
export function copyText(text: string): string {
  return Buffer.from(text, 'utf8').toString('utf8');
}
