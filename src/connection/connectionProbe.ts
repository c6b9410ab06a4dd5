/**
 * Whether a backend server still accepts connections, to tell a crash from a broken connection.
 * @module
 */
import { connect } from 'node:net'
import { parseAddress } from '../process/settings.ts'
import { connectLimitMs } from './backendServerConnection.ts'

/**
 * Opens a connection and closes it.
 * @param address - the backend server
 * @returns true when the connection was refused; false when it was accepted or not answered
 */
export function isRefused (address: string): Promise<boolean> {
  const { ip, port } = parseAddress(address)
  return new Promise(resolve => {
    const socket = connect({ host: ip, port, timeout: connectLimitMs })
    const settle = (refused: boolean): void => {
      socket.destroy()
      resolve(refused)
    }
    socket.once('connect', () => settle(false))
    socket.once('timeout', () => settle(false))
    socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'))
  })
}
