/**
 * Builds the name of the generated validator of a message or of a part of it.
 *
 * @param type - type of the message
 * @param path - field, and `row` for a row of a list
 * @returns the name in `peerValidators.generated.js`
 * @example
 * buildValidatorName('agent-hello', 'holding', 'row'); // 'validateAgentHelloHoldingRow'
 */
export function buildValidatorName(type: string, ...path: readonly string[]): string {
  const words = [...type.split('-'), ...path];
  return `validate${words.map((word) => `${word[0]?.toUpperCase() ?? ''}${word.slice(1)}`).join('')}`;
}
