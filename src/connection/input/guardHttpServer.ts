import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { GatedConnection } from './GatedConnection.js';
import type { InputGuard } from './InputGuard.js';

/**
 * Puts the connections of an HTTP server under the input budget of the process; call it before the server listens.
 * A body that the server's own listener for requests has not begun to read is discarded as it arrives.
 *
 * @param server - the server, with its listeners for requests
 * @param guard - budget and turns of the process
 * @param listener - name of the listener, for log and metrics
 * @param maxConnections - most connections of this server
 */
export function guardHttpServer(
  server: Server,
  guard: InputGuard,
  listener: string,
  maxConnections: number,
): void {
  const attach = server.listeners('connection') as ((connection: unknown) => void)[];
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    const account = guard.budget.open(listener, maxConnections, () => socket.destroy());
    if (!account) return;
    const connection = new GatedConnection(socket, account, guard.turns, guard.now);
    account.closeWith(() => connection.refuse());
    for (const accept of attach) accept.call(server, connection);
  });
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    findConnection(request)?.trackRequest(response);
  });
  server.on('request', (request: IncomingMessage) => {
    if (request.readableFlowing !== null) return;
    request.on('data', () => findConnection(request)?.recordBodyPart());
  });
}

/**
 * Finds the guarded connection of a message.
 *
 * @param message - request of a client, or answer of a server
 * @returns the connection; undefined if it is not guarded
 */
export function findConnection(message: IncomingMessage): GatedConnection | undefined {
  const socket: unknown = message.socket;
  return socket instanceof GatedConnection ? socket : undefined;
}
