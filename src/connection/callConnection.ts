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

/**
 * Wire form of a call: number, procedure, input, and the time after which the caller gives up the call, in milliseconds. Hosts of earlier
 * versions send no such time and ignore it.
 */
export type CallMessage = readonly [number: number, procedure: string, input: unknown, timeLimitMs?: number]

/** Wire form of a response: number of the call, value, and the message of an error if the call failed. */
export type ResponseMessage = readonly [number: number, value: unknown, error: string | undefined]

/** Options of a call. */
export interface CallOptions {
  /** Whether the large parts of the input are compressed already. */
  readonly isCompressed: boolean
  /** Gives up the call; the other calls on the connection continue. */
  readonly signal?: AbortSignal | undefined
  /** Time after which the caller gives up the call, in milliseconds; undefined if the procedure need not know it. */
  readonly timeLimitMs?: number | undefined
}

/** Calls procedures of one host over one connection. */
export interface CallConnection {
  /**
   * Calls a procedure.
   * @param procedure - path of the procedure
   * @param input - input of the procedure
   * @param options - options of the call
   * @returns the value; rejects with the error of the procedure or of the connection, or when the signal aborts
   */
  call (procedure: string, input: unknown, options: CallOptions): Promise<unknown>
  /** Monotonic time at which the last bytes arrived, in milliseconds; -Infinity before the first. */
  readonly lastReceivedAt: number
  /** Whether a call has not been sent completely, or a response has arrived in part. */
  readonly isTransferring: boolean
  /**
   * Closes the connection once no call waits for a response. Later calls fail after that.
   * @param closed - called when it is closed
   */
  retire (closed: () => void): void
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
 * @param handleUnused - called for each response to a call that was given up
 * @returns the connection
 */
export function createCallConnection (address: string, thresholdBytes: number, handleUnused: () => void): CallConnection {
  const pending = new Map<number, PendingCall>()
  let lastNumber = 0
  let socket: Socket | undefined
  let destroyed = false
  let lastReceivedAt = -Infinity
  let handleRetired: (() => void) | undefined
  let isReceiving = (): boolean => false

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
      closeIfRetired()
    })
    opened.on('data', () => { lastReceivedAt = performance.now() })
    isReceiving = readMessages(opened, message => {
      const [number, value, error] = message as ResponseMessage
      const call = take(number)
      if (call === undefined) handleUnused()
      else if (error === undefined) call.resolve(value)
      else call.reject(new Error(error))
    })
    return opened
  }

  // The call may have ended while its message was compressed.
  function send (number: number, frame: Buffer): void {
    if (!pending.has(number)) return
    socket ??= open()
    writeFrame(socket, frame)
  }

  function take (number: number): PendingCall | undefined {
    const call = pending.get(number)
    pending.delete(number)
    closeIfRetired()
    return call
  }

  function closeIfRetired (): void {
    const closed = handleRetired
    if (closed === undefined || pending.size > 0) return
    handleRetired = undefined
    destroy()
    closed()
  }

  function destroy (): void {
    destroyed = true
    const openSocket = socket
    socket = undefined
    openSocket?.destroy()
    rejectAll(new CallError('ECONNRESET', `the connection to ${address} was closed`))
  }

  function rejectAll (error: Error): void {
    const calls = [...pending.values()]
    pending.clear()
    for (const call of calls) call.reject(error)
  }

  return {
    get lastReceivedAt () { return lastReceivedAt },
    get isTransferring () { return (socket?.writableLength ?? 0) > 0 || isReceiving() },
    call: (procedure, input, { isCompressed, signal, timeLimitMs }) => new Promise((resolve, reject) => {
      const giveUp = (): void => take(number)?.reject(new CallError('ABORT_ERR', 'the call was given up'))
      if (destroyed) return reject(new CallError('ECONNRESET', `the connection to ${address} is closed`))
      const number = ++lastNumber
      const message: CallMessage = timeLimitMs === undefined ? [number, procedure, input] : [number, procedure, input, timeLimitMs]
      const encoded = encodeMessage(message, isCompressed ? Infinity : thresholdBytes)
      pending.set(number, { resolve, reject })
      if (signal?.aborted === true) return giveUp()
      signal?.addEventListener('abort', giveUp, { once: true })
      if (encoded instanceof Promise) encoded.then(frame => send(number, frame), (error: Error) => take(number)?.reject(error))
      else send(number, encoded)
    }),
    retire (closed) {
      handleRetired = closed
      closeIfRetired()
    },
    destroy
  }
}
