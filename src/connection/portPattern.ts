/** Pattern of a port in an address, 1 to 65535, for JSON schemas. */
export const PORT_PATTERN =
  '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})';
