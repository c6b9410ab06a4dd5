/**
 * The end of an exchange on a connection of a caller.
 * @module
 */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

const endingsBySocket = new WeakMap<Socket, Set<() => void>>()

/**
 * Calls a function once when a response has ended or can't be sent any more. A response that waits for an earlier one on its connection emits
 * no event of its own when the connection closes.
 * @param socket - the connection
 * @param response - the response
 * @param onEnded - the function
 */
export function whenEnded (socket: Socket, response: ServerResponse, onEnded: () => void): void {
  const endings = endingsBySocket.get(socket) ?? new Set<() => void>()
  if (!endingsBySocket.has(socket)) {
    endingsBySocket.set(socket, endings)
    socket.once('close', () => {
      for (const end of endings) end()
    })
  }
  const end = (): void => {
    if (endings.delete(end)) onEnded()
  }
  endings.add(end)
  response.once('close', end)
}
