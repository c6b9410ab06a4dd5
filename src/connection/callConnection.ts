/**
 * The client side of a connection between hosts. Calls are multiplexed over the connection and matched to responses by
 * number; after the connection has closed, the next call opens a new one.
 * @module
 */
import { connect, type Socket } from 'node:net'
import { parseAddress } from '../process/program/address.ts'
import { encodeMessage, readMessages, writeFrame } from './frames.ts'

/** Timeout for opening a connection between hosts, in milliseconds. */
const connectTimeoutMs = 1_000

/** Wire form of a call: number, procedure, input. */
export type CallMessage = readonly [number: number, procedure: string, input: unknown]

/** Wire form of a response: number of the call, value, and the message of an error if the call failed. */
export type ResponseMessage = readonly [number: number, value: unknown, error: string | undefined]

/** Calls procedures of one host over one connection. */
export interface CallConnection {
  /**
   * Calls a procedure.
   * @param procedure - path of the procedure
   * @param input - input of the procedure
   * @param isCompressed - whether the large parts of the input are compressed already
   * @returns the value; rejects with the error of the procedure or of the connection
   */
  call (procedure: string, input: unknown, isCompressed: boolean): Promise<unknown>
  /** Number of calls that wait for a response. */
  readonly pendingCalls: number
  /** Closes the connection and rejects pending calls; later calls are rejected too. */
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
 * Creates a connection to a host; the first call opens it.
 * @param address - IP address and port
 * @param thresholdBytes - minimum length of a message that is compressed, in bytes
 * @returns the connection
 */
export function createCallConnection (address: string, thresholdBytes: number): CallConnection {
  const pending = new Map<number, PendingCall>()
  let lastNumber = 0
  let socket: Socket | undefined
  let destroyed = false

  // A function, since the compiler would assume that the variable is still false after an await.
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
    get pendingCalls () { return pending.size },
    async call (procedure, input, isCompressed) {
      if (isDestroyed()) throw new CallError('ECONNRESET', `the connection to ${address} is closed`)
      const number = ++lastNumber
      const message: CallMessage = [number, procedure, input]
      const encoded = encodeMessage(message, isCompressed ? Infinity : thresholdBytes)
      const frame = encoded instanceof Promise ? await encoded : encoded
      // The connection may have been destroyed while the message was compressed.
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
