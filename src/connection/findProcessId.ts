/**
 * Returns the process id of a peer, without its incarnation.
 *
 * @param peer - `id@incarnation`
 * @returns the id
 * @example
 * findProcessId('agent-1@k3'); // 'agent-1'
 */
export function findProcessId(peer: string): string {
  const at = peer.lastIndexOf('@');
  return at < 0 ? peer : peer.slice(0, at);
}
