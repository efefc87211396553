/** Bounds in the JSON schemas of what others may send or store. */

/** Pattern of a port in an address, 1 to 65535. */
export const PORT_PATTERN =
  '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})';

/** Largest counter or version, far below the largest safe integer, so that later ones can follow. */
export const MAX_COUNT = 2 ** 52;

/** Largest amount of a resource that a task, an upstream or a sum may have. */
export const MAX_RESOURCE_AMOUNT = 1_000_000_000;
