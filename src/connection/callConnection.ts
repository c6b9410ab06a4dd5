/**
 * The calling side of a connection between hosts. Calls share the connection and are told apart by number; a connection
 * that ended is opened again by the next call.
 * @module
 */
import { connect, type Socket } from 'node:net'
import { parseAddress } from '../process/program/address.ts'
import { encodeMessage, encodeSmallMessage, readMessages, writeFrame } from './frames.ts'

/** Limit for opening a connection between hosts, in milliseconds. */
const connectTimeoutMs = 1_000

/** A call as it is sent: number, procedure, input. */
export type CallMessage = readonly [number: number, procedure: string, input: unknown]

/** An answer as it is sent: number of the call, value, and the text of an error if there was one. */
export type ResponseMessage = readonly [number: number, value: unknown, error: string | undefined]

/** Calls to one host over one connection. */
export interface CallConnection {
  /**
   * Calls a procedure.
   * @param procedure - its path
   * @param input - its input
   * @returns the value; rejected with the error of the procedure or of the connection
   */
  call (procedure: string, input: unknown): Promise<unknown>
  /** Ends the connection; calls that wait are rejected. */
  destroy (): void
}

interface PendingCall {
  readonly resolve: (value: unknown) => void
  readonly reject: (error: Error) => void
}

class CallError extends Error {
  readonly code: string

  constructor (code: string, message: string) {
    super(message)
    this.code = code
  }
}

/**
 * Creates the calls to a host; the connection is opened by the first one.
 * @param address - IP number and port
 * @param thresholdBytes - length of a message from which it is compressed, in bytes
 * @returns the calls
 */
export function createCallConnection (address: string, thresholdBytes: number): CallConnection {
  const pending = new Map<number, PendingCall>()
  let lastNumber = 0
  let socket: Socket | undefined
  let destroyed = false

  function isDestroyed (): boolean {
    return destroyed
  }

  function open (): Socket {
    const { ip, port } = parseAddress(address)
    const opened = connect({ host: ip, port, noDelay: true })
    const timer = setTimeout(() => opened.destroy(new CallError('UND_ERR_CONNECT_TIMEOUT', `no connection to ${address} within ${connectTimeoutMs} ms`)), connectTimeoutMs)
    opened.once('connect', () => clearTimeout(timer))
    let failure: Error | undefined
    opened.once('error', error => { failure = error })
    opened.once('close', () => {
      clearTimeout(timer)
      if (socket !== opened) return
      socket = undefined
      rejectAll(failure ?? new CallError('ECONNRESET', `the connection to ${address} ended`))
    })
    readMessages(opened, message => {
      const [number, value, error] = message as ResponseMessage
      const call = pending.get(number)
      if (call === undefined) return
      pending.delete(number)
      if (error === undefined) call.resolve(value)
      else call.reject(new Error(error))
    })
    return opened
  }

  function rejectAll (error: Error): void {
    const calls = [...pending.values()]
    pending.clear()
    for (const call of calls) call.reject(error)
  }

  return {
    async call (procedure, input) {
      if (isDestroyed()) throw new CallError('ECONNRESET', `the connection to ${address} is closed`)
      const number = ++lastNumber
      const message: CallMessage = [number, procedure, input]
      const frame = encodeSmallMessage(message, thresholdBytes) ?? await encodeMessage(message, thresholdBytes)
      // The connection may have been given up while the message was compressed.
      if (isDestroyed()) throw new CallError('ECONNRESET', `the connection to ${address} is closed`)
      return await new Promise((resolve, reject) => {
        pending.set(number, { resolve, reject })
        socket ??= open()
        writeFrame(socket, frame)
      })
    },
    destroy () {
      destroyed = true
      const openSocket = socket
      socket = undefined
      openSocket?.destroy()
      rejectAll(new CallError('ECONNRESET', `the connection to ${address} was closed`))
    }
  }
}
