/**
 * Connections to one backend server. Live and batch traffic have pools of their own, and an exchange that goes silent
 * closes its connection.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { type Dispatcher, Pool } from 'undici'
import type { Clock } from '../process/clock.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../process/failure.ts'
import type { Lifecycle } from '../process/lifecycle.ts'
import { Counter, type Metrics } from '../process/metrics.ts'
import { TrafficClass } from './internalClient.ts'
import type { Attempt, AttemptFailure } from './protocol.ts'

/** Limit for opening a connection, in milliseconds. */
export const connectLimitMs = 1_000

/** Most connections for each class of traffic. */
const connectionLimit = 512

/** Connections to one backend server. */
export interface BackendServerConnection {
  readonly address: string
  /**
   * Posts JSON and reads the body of the answer in chunks.
   * @param path - path on the backend server
   * @param body - the JSON text
   * @param attempt - limits, class of traffic and abort signal
   * @param receive - takes each chunk of a successful answer
   * @returns nothing once the body has ended, or why it did not
   */
  post (path: string, body: string, attempt: Attempt, receive: (chunk: Buffer) => void): Promise<Result<void, AttemptFailure>>
}

/** Connections to all backend servers. */
export interface BackendServerConnections {
  /**
   * Finds the connections to a backend server, or creates them.
   * @param address - its address
   * @returns the connections
   */
  to (address: string): BackendServerConnection
}

/** What the connections need. */
export interface ConnectionInputs {
  readonly clock: Clock
  readonly metrics: Metrics
  readonly lifecycle: Lifecycle
  /** Tells whether a backend server is in another region. */
  readonly crossesRegions: (address: string) => boolean
}

/**
 * Creates the connections.
 * @param inputs - what they need
 * @returns the connections
 */
export function createBackendServerConnections (inputs: ConnectionInputs): BackendServerConnections {
  const connections = new Map<string, BackendServerConnection>()
  return {
    to (address) {
      const present = connections.get(address)
      if (present !== undefined) return present
      const created = createConnection(address, inputs)
      connections.set(address, created)
      return created
    }
  }
}

function createConnection (address: string, inputs: ConnectionInputs): BackendServerConnection {
  const pools = new Map<TrafficClass, Pool>()
  for (const trafficClass of [TrafficClass.Live, TrafficClass.Batch]) {
    const pool = new Pool(`http://${address}`, {
      connections: connectionLimit, pipelining: 1, connect: { timeout: connectLimitMs }, headersTimeout: 0, bodyTimeout: 0
    })
    pools.set(trafficClass, pool)
    inputs.lifecycle.own(() => pool.destroy())
  }
  return {
    address,
    post (path, body, attempt, receive) {
      const pool = pools.get(attempt.trafficClass)
      if (pool === undefined) throw new Error(`no connections for the traffic class ${attempt.trafficClass}`)
      return exchange(pool, address, path, body, attempt, receive, inputs)
    }
  }
}

function exchange (
  pool: Pool, peer: string, path: string, body: string, attempt: Attempt, receive: (chunk: Buffer) => void, inputs: ConnectionInputs
): Promise<Result<void, AttemptFailure>> {
  const label = `${attempt.trafficClass} ${inputs.crossesRegions(peer) ? 'across regions' : 'within region'}`

  function countBytes (bytes: number): void {
    inputs.metrics.count(Counter.Bytes, label, bytes)
    attempt.countBytes?.(bytes)
  }

  return new Promise(resolve => {
    let sent = false
    let step: Step = Step.Connect
    let status = 0
    let cause: Failure | undefined
    let controller: Dispatcher.DispatchController | undefined
    let timer = setTimeout(() => {}, 0)

    function limit (durationMs: number, text: string): void {
      clearTimeout(timer)
      timer = setTimeout(() => {
        stop(createFailure(FailureReason.Timeout, { step, peer }, `${text} for ${durationMs} ms`))
      }, durationMs)
    }

    // Aborting a started exchange destroys its connection, so that a silent one is never used again.
    function stop (failure: Failure): void {
      cause ??= failure
      if (controller !== undefined) controller.abort(cause)
      else settle(err({ failure: cause, sent }))
    }

    function settle (result: Result<void, AttemptFailure>): void {
      clearTimeout(timer)
      attempt.signal.removeEventListener('abort', abort)
      resolve(result)
    }

    function abort (): void {
      stop(createFailure(FailureReason.Aborted, { step, peer }, 'the attempt was cancelled'))
    }

    if (attempt.signal.aborted) return abort()
    attempt.signal.addEventListener('abort', abort, { once: true })
    limit(connectLimitMs + attempt.firstByteMs, 'no connection')
    pool.dispatch({ path, method: 'POST', headers: { 'content-type': 'application/json' }, body }, {
      onRequestStart (started) {
        controller = started
        if (cause !== undefined) return started.abort(cause)
        sent = true
        step = Step.FirstByte
        countBytes(Buffer.byteLength(body))
        limit(attempt.firstByteMs, 'no first byte')
      },
      onResponseStart (_, code) {
        status = code
        step = Step.ReadAnswer
        limit(attempt.betweenBytesMs, 'no further byte')
      },
      onResponseData (_, chunk) {
        countBytes(chunk.length)
        limit(attempt.betweenBytesMs, 'no further byte')
        if (status === 200) receive(chunk)
      },
      onResponseEnd () {
        if (status === 200) return settle(ok(undefined))
        settle(err({ failure: createFailure(FailureReason.Status, { step, peer }, `the backend server answered with status ${status}`), sent }))
      },
      onResponseError (_, error) {
        settle(err({ failure: cause ?? toFailure(error, { step, peer }), sent }))
      }
    })
  })
}
