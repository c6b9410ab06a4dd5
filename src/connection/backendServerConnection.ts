/**
 * Connection pools to backend servers. Live and batch traffic use separate pools, and an exchange that times out closes
 * its connection.
 * @module
 */
import { connect } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import { type Dispatcher, Pool } from 'undici'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../process/program/failure.ts'
import type { Lifecycle } from '../process/program/lifecycle.ts'
import { parseAddress } from '../process/program/address.ts'
import { Counter, type Metrics } from '../process/program/metrics.ts'
import { TrafficClass } from './internalClient.ts'
import type { Attempt, AttemptFailure } from './backendAttempt.ts'

/** Timeout for an exchange to obtain a connection, and for a probe, in milliseconds. */
export const connectTimeoutMs = 1_000

/** Maximum number of connections to one backend server for each traffic class. */
const maxConnectionsPerClass = 512

/** Maximum size of the body of a failure that is read, in bytes; beyond it the connection is closed. */
const maxDiscardedBytes = 64 * 1024

/**
 * Receives a chunk of a response body. While the returned promise is pending, nothing more is read from the connection.
 * @param chunk - the chunk
 * @returns a promise that resolves when the receiver can take the next chunk, or nothing when it can do so at once
 */
export type ChunkReceiver = (chunk: Buffer) => Promise<void> | undefined | void

/** Outcomes of a connection probe. */
export const ProbeResult = { Accepted: 'accepted', Refused: 'refused', Unresponsive: 'silent' } as const
export type ProbeResult = typeof ProbeResult[keyof typeof ProbeResult]

/** Connection pools to one backend server. */
export interface BackendServerConnection {
  readonly address: string
  /**
   * Sends a POST request with a JSON body and reads the response body in chunks.
   * @param path - path on the backend server
   * @param body - the JSON text
   * @param attempt - timeouts, traffic class and abort signal
   * @param receive - receives each chunk of a response with status 200
   * @returns nothing once the body has ended, or the failure
   * @throws Error if the traffic class has no connection pool: only live and batch have one
   */
  post (path: string, body: string, attempt: Attempt, receive: ChunkReceiver): Promise<Result<void, AttemptFailure>>
  /**
   * Opens a new connection and closes it at once.
   * @returns whether the backend server accepts connections
   */
  probe (): Promise<ProbeResult>
}

/** Connection pools to all backend servers. */
export interface BackendServerConnections {
  /**
   * Returns the connections to a backend server; creates them on first use.
   * @param address - IP address and port of the backend server
   * @returns the connections
   */
  to (address: string): BackendServerConnection
}

/** Dependencies of the connections to backend servers. */
export interface BackendServerConnectionsInputs {
  readonly metrics: Metrics
  readonly lifecycle: Lifecycle
  /** Checks whether the backend server at an address is in another region than this host. */
  readonly isInOtherRegion: (address: string) => boolean
}

/**
 * Creates the connections to backend servers.
 * @param inputs - dependencies of the connections
 * @returns the connections, without any open yet
 */
export function createBackendServerConnections (inputs: BackendServerConnectionsInputs): BackendServerConnections {
  const connections = new Map<string, BackendServerConnection>()
  return {
    to (address) {
      const existing = connections.get(address)
      if (existing !== undefined) return existing
      const created = createConnection(address, inputs)
      connections.set(address, created)
      return created
    }
  }
}

function createConnection (address: string, inputs: BackendServerConnectionsInputs): BackendServerConnection {
  const pools = new Map<TrafficClass, Pool>()

  function createPool (trafficClass: TrafficClass): Pool {
    const pool = new Pool(`http://${address}`, {
      connections: maxConnectionsPerClass, pipelining: 1, connect: { timeout: connectTimeoutMs }, headersTimeout: 0, bodyTimeout: 0
    })
    pools.set(trafficClass, pool)
    return pool
  }

  // After a timeout the idle connections of the same pool may be unresponsive too, so none of them is reused. Exchanges in
  // flight continue until their own timeouts.
  function replacePool (trafficClass: TrafficClass, unresponsive: Pool): void {
    if (pools.get(trafficClass) !== unresponsive) return
    createPool(trafficClass)
    unresponsive.close().catch(() => {})
  }

  for (const trafficClass of [TrafficClass.Live, TrafficClass.Batch]) createPool(trafficClass)
  inputs.lifecycle.addCleanup(async () => {
    for (const pool of pools.values()) await pool.destroy()
  })
  return {
    address,
    async post (path, body, attempt, receive) {
      const pool = pools.get(attempt.trafficClass)
      if (pool === undefined) throw new Error(`no connection pool for traffic class ${attempt.trafficClass}`)
      const result = await exchange(pool, address, path, body, attempt, receive, inputs)
      if (result.isErr() && result.error.failure.reason === FailureReason.Timeout) replacePool(attempt.trafficClass, pool)
      return result
    },
    probe: () => probe(address)
  }
}

function createStatusFailure (peer: string, step: Step, status: number): Failure {
  return createFailure(FailureReason.UnexpectedStatus, { step, peer }, `the backend server answered with status ${status}`)
}

function probe (address: string): Promise<ProbeResult> {
  const { ip, port } = parseAddress(address)
  return new Promise(resolve => {
    const socket = connect({ host: ip, port })
    const timer = setTimeout(() => end(ProbeResult.Unresponsive), connectTimeoutMs)
    const end = (result: ProbeResult): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    socket.once('connect', () => end(ProbeResult.Accepted))
    socket.once('error', error => {
      const { reason } = toFailure(error, { step: Step.Connect, peer: address })
      end(reason === FailureReason.Refused ? ProbeResult.Refused : ProbeResult.Unresponsive)
    })
  })
}

function exchange (
  pool: Pool, peer: string, path: string, body: string, attempt: Attempt, receive: ChunkReceiver, inputs: BackendServerConnectionsInputs
): Promise<Result<void, AttemptFailure>> {
  const label = `${attempt.trafficClass} ${inputs.isInOtherRegion(peer) ? 'across regions' : 'within region'}`

  function countBytes (bytes: number): void {
    inputs.metrics.count(Counter.Bytes, label, bytes)
    attempt.countBytes?.(bytes)
  }

  return new Promise(resolve => {
    // Set before the first byte is written to the socket and never reset. An exchange that fails earlier is still in
    // undici's queue; onRequestStart aborts it before anything is written, so "not sent" remains true.
    let sent = false
    let step: Step = Step.Connect
    let status = 0
    let exchangeFailure: Failure | undefined
    let controller: Dispatcher.DispatchController | undefined
    let timer: NodeJS.Timeout | undefined
    let pendingDelivery: Promise<void> | undefined
    let isSettled = false
    let discardedBytes = 0

    function startTimeout (durationMs: number, text: string): void {
      clearTimeout(timer)
      timer = setTimeout(() => {
        failExchange(createFailure(FailureReason.Timeout, { step, peer }, `${text} for ${durationMs} ms`))
      }, durationMs)
    }

    // Aborting a started exchange destroys its connection, so that an unresponsive one is never reused.
    function failExchange (failure: Failure): void {
      exchangeFailure ??= failure
      if (controller !== undefined) controller.abort(exchangeFailure)
      else settle(err({ failure: exchangeFailure, sent }))
    }

    // Resolves only after a pending delivery, so that no chunk of this attempt is delivered after its result.
    function settle (result: Result<void, AttemptFailure>): void {
      isSettled = true
      clearTimeout(timer)
      attempt.signal.removeEventListener('abort', abort)
      if (pendingDelivery === undefined) resolve(result)
      else pendingDelivery.finally(() => resolve(exchangeFailure === undefined ? result : err({ failure: exchangeFailure, sent })))
    }

    function abort (): void {
      failExchange(createFailure(FailureReason.Aborted, { step, peer }, 'the attempt was cancelled'))
    }

    function deliverChunk (chunk: Buffer, dispatchController: Dispatcher.DispatchController): void {
      const pending = receive(chunk)
      if (pending === undefined) return
      dispatchController.pause()
      // The timeout does not run while a slow receiver holds up reading: the backend server is not the cause.
      clearTimeout(timer)
      pendingDelivery = pending.catch((error: unknown) => {
        failExchange(toFailure(error, { step, peer }))
      }).then(() => {
        pendingDelivery = undefined
        if (isSettled || exchangeFailure !== undefined) return
        startTimeout(attempt.betweenBytesMs, 'no further byte')
        dispatchController.resume()
      })
    }

    // The body of a failure is read only so that the connection can be used again. Its bytes do not extend the time for it.
    function discardChunk (chunk: Buffer): void {
      discardedBytes += chunk.length
      if (discardedBytes > maxDiscardedBytes) failExchange(createStatusFailure(peer, step, status))
    }

    if (attempt.signal.aborted) return abort()
    attempt.signal.addEventListener('abort', abort, { once: true })
    startTimeout(connectTimeoutMs, 'no connection')
    pool.dispatch({ path, method: 'POST', headers: { 'content-type': 'application/json' }, body }, {
      onRequestStart (started) {
        controller = started
        if (exchangeFailure !== undefined) return started.abort(exchangeFailure)
        sent = true
        step = Step.FirstByte
        countBytes(Buffer.byteLength(body))
        startTimeout(attempt.firstByteMs, 'no first byte')
      },
      onResponseStart (_, code) {
        // The head may arrive long before the first token, so the first-byte timeout runs until the body starts.
        status = code
      },
      onResponseData (reading, chunk) {
        step = Step.ReadResponse
        countBytes(chunk.length)
        if (status !== 200) return discardChunk(chunk)
        startTimeout(attempt.betweenBytesMs, 'no further byte')
        deliverChunk(chunk, reading)
      },
      onResponseEnd () {
        if (status === 200) return settle(ok(undefined))
        settle(err({ failure: createStatusFailure(peer, step, status), sent }))
      },
      onResponseError (_, error) {
        settle(err({ failure: exchangeFailure ?? toFailure(error, { step, peer }), sent }))
      }
    })
  })
}
