/** Odd forms of entries that other writers may leave, each as JSON text. */

/** Numbers at and past the limits, as text, since some of them are no number once parsed. */
const ODD_NUMBERS = [
  '1e400',
  '-1e400',
  '1e308',
  '-1',
  '0.5',
  '0',
  '1000000000',
  '1000000001',
  String(2 ** 52),
  String(Number.MAX_SAFE_INTEGER),
  '9007199254740992',
  'null',
  '"5"',
];
const ODD_ADDRESSES = [
  '127.0.0.1:0',
  '127.0.0.1:99999',
  '127.0.0.1:65536',
  ':80',
  'host',
  '999.999.1.1:80',
  '',
];
/** Text that stands for an odd value until the JSON text is built. */
const MARK = '@odd@';

/**
 * Builds arrays nested in each other.
 *
 * @param bytes - length of the text
 * @returns JSON text
 */
export function buildNested(bytes: number): string {
  const depth = Math.floor(bytes / 2);
  return '['.repeat(depth) + ']'.repeat(depth);
}

/**
 * Builds objects nested in each other.
 *
 * @param bytes - most bytes of the text
 * @returns JSON text
 */
export function buildNestedObjects(bytes: number): string {
  const depth = Math.floor(bytes / 6) - 1;
  return `${'{"a":'.repeat(depth)}0${'}'.repeat(depth)}`;
}

/**
 * Builds odd forms of an entry: each of its numbers and addresses replaced by odd ones, each of its fields and an unknown
 * one by a value that is nested up to the size limit, and texts that are no such entry at all.
 *
 * @param entry - sound entry
 * @param maxBytes - largest size of an entry
 * @returns JSON texts
 */
export function buildOddEntries(entry: Readonly<Record<string, unknown>>, maxBytes: number): string[] {
  const room = maxBytes - JSON.stringify(entry).length - 100;
  const nested = [buildNested(room), buildNestedObjects(room)];
  const texts = ['', 'null', '[]', '{', '"a"', '1e400', ...nested, `{"a":${buildNested(room)}}`];
  for (const [path, value] of listFields(entry)) {
    const odd = [...(typeof value === 'number' ? ODD_NUMBERS : []), ...nested.slice(0, 1)];
    if (typeof value === 'string' && /:[0-9]+$/.test(value))
      odd.push(...ODD_ADDRESSES.map((address) => JSON.stringify(address)));
    for (const text of odd) texts.push(replaceField(entry, path, text));
  }
  for (const text of nested) texts.push(replaceField(entry, ['unknown'], text));
  return texts;
}

/** Lists the paths of all fields, also of those in objects and arrays. */
function listFields(value: object, path: readonly string[] = []): [readonly string[], unknown][] {
  return Object.entries(value).flatMap(([name, field]): [readonly string[], unknown][] => {
    const own: [readonly string[], unknown] = [[...path, name], field];
    return typeof field === 'object' && field !== null ? [own, ...listFields(field, own[0])] : [own];
  });
}

function replaceField(entry: object, path: readonly string[], text: string): string {
  const copy = structuredClone(entry) as Record<string, unknown>;
  let parent = copy;
  for (const name of path.slice(0, -1)) parent = parent[name] as Record<string, unknown>;
  parent[path.at(-1) ?? ''] = MARK;
  return JSON.stringify(copy).replace(`"${MARK}"`, () => text);
}
