/**
 * The tRPC client for calls to other hosts. Each pair of peer and traffic class has a connection of its own, and every call
 * has a timeout, so that an unresponsive connection is replaced. A late call gives up nothing but itself: the other calls on its
 * connection wait for their own timeouts, and a host that responds to them does not count as unresponsive.
 * @module
 */
import { createTRPCClient, TRPCClientError, type TRPCLink } from '@trpc/client'
import { observable } from '@trpc/server/observable'
import { err, ok, ResultAsync } from 'neverthrow'
import { createFailure, type Failure, FailureReason, type Step, toFailure } from '../process/program/failure.ts'
import type { Lifecycle } from '../process/program/lifecycle.ts'
import { Counter, type Metrics } from '../process/program/metrics.ts'
import { type CallConnection, createCallConnection } from './callConnection.ts'
import { compressionThresholdBytes } from './frames.ts'
import { fromReply, type Reply } from './reply.ts'
import type { InternalRouter } from './internalRouter.ts'

/** Traffic classes, which never share a connection. */
export const TrafficClass = { Heartbeat: 'heartbeat', Live: 'live', Control: 'control', Tables: 'tables', Batch: 'batch' } as const
export type TrafficClass = typeof TrafficClass[keyof typeof TrafficClass]

/** Key of the call context that is true when the large parts of the input are compressed already. */
const compressedInputKey = 'isInputCompressed'

/** Context of a call whose input must not be compressed again. */
export const compressedInputContext: Readonly<Record<string, boolean>> = { [compressedInputKey]: true }

const timeLimitKey = 'timeLimitMs'

/**
 * Creates the context of a call that sends its time limit.
 * @param timeLimitMs - the time from the call on, in milliseconds
 * @returns the context
 */
export function createTimeLimitContext (timeLimitMs: number): Readonly<Record<string, number>> {
  return { [timeLimitKey]: timeLimitMs }
}

function readTimeLimit (context: Readonly<Record<string, unknown>>): number | undefined {
  const timeLimitMs = context[timeLimitKey]
  return typeof timeLimitMs === 'number' ? timeLimitMs : undefined
}

/** Procedure that every host answers at once, by which a silent connection is checked. */
const probeProcedure = 'replica.identify'

/**
 * Time after a response for which a host counts as responsive, in milliseconds. A host without an update for another one still responds to
 * its long poll after 500 ms.
 */
const responsiveMs = 600

type Client = ReturnType<typeof createTRPCClient<InternalRouter>>

/** Clients for calls to other hosts. */
export interface InternalClients {
  /**
   * Calls a procedure of a host.
   * @param address - internal address of the host
   * @param trafficClass - the traffic class, which selects the connection
   * @param step - the step named in failures
   * @param timeoutMs - timeout for the call, in milliseconds
   * @param call - calls the procedure
   * @param maxTimeoutMs - timeout while the host responds to other calls and the connection works, in milliseconds; `timeoutMs` by default
   * @returns the value, or a failure; its reason is `Late` if the host responds to other calls
   */
  call<Value> (
    address: string, trafficClass: TrafficClass, step: Step, timeoutMs: number,
    call: (client: Client, signal: AbortSignal) => Promise<Value>, maxTimeoutMs?: number
  ): ResultAsync<Value, Failure>
  /**
   * Calls a procedure that returns a reply.
   * @param address - internal address of the host
   * @param trafficClass - the traffic class, which selects the connection
   * @param step - the step named in failures
   * @param timeoutMs - timeout for the call, in milliseconds
   * @param call - calls the procedure
   * @param maxTimeoutMs - timeout while the host responds to other calls and the connection works, in milliseconds; `timeoutMs` by default
   * @returns the value of the reply, or the failure of the reply or of the call
   */
  callReply<Value> (
    address: string, trafficClass: TrafficClass, step: Step, timeoutMs: number,
    call: (client: Client, signal: AbortSignal) => Promise<Reply<Value>>, maxTimeoutMs?: number
  ): ResultAsync<Value, Failure>
}

interface Channel {
  readonly client: Client
  readonly connection: CallConnection
}

/**
 * Creates the clients.
 * @param lifecycle - closes the connections
 * @param thresholdBytes - minimum length of a message that is compressed, in bytes; Infinity for never
 * @param metrics - counts the connections that are replaced and the responses to calls that were given up
 * @returns the clients
 */
export function createInternalClients (lifecycle: Lifecycle, thresholdBytes = compressionThresholdBytes, metrics?: Metrics): InternalClients {
  const channels = new Map<string, Channel>()
  // Replaced connections on which calls still wait.
  const retired = new Set<CallConnection>()
  // Monotonic time at which a call to a responsive host timed out on a connection on which nothing had arrived, in milliseconds.
  const silentSince = new WeakMap<CallConnection, number>()

  function getOrCreateChannel (address: string, trafficClass: TrafficClass): Channel {
    const name = `${trafficClass} ${address}`
    const existing = channels.get(name)
    if (existing !== undefined) return existing
    const created = createChannel(createCallConnection(address, thresholdBytes, () => metrics?.count(Counter.UnusedResponses, trafficClass)))
    channels.set(name, created)
    return created
  }

  // The connection may have gone silent, or carries what nobody waits for any more; so the next call opens a new one.
  function replaceConnection (address: string, trafficClass: TrafficClass, connection: CallConnection): void {
    const name = `${trafficClass} ${address}`
    if (channels.get(name)?.connection !== connection) return
    channels.delete(name)
    metrics?.count(Counter.ReplacedConnections, trafficClass)
    retired.add(connection)
    connection.retire(() => retired.delete(connection))
  }

  // A busy host takes longer for the first call on a new connection than for one on a connection that it has accepted, so a single late call does
  // not replace the connection.
  function wasSilentBefore (connection: CallConnection): boolean {
    return connection.lastReceivedAt < (silentSince.get(connection) ?? -Infinity)
  }

  function isResponsive (address: string): boolean {
    const since = performance.now() - responsiveMs
    for (const trafficClass of Object.values(TrafficClass)) {
      if ((channels.get(`${trafficClass} ${address}`)?.connection.lastReceivedAt ?? -Infinity) >= since) return true
    }
    return false
  }

  // Shutdown waits for tasks that are waiting for a response, so the connections are closed before that.
  lifecycle.signal.addEventListener('abort', () => {
    for (const { connection } of channels.values()) connection.destroy()
    for (const connection of retired) connection.destroy()
  }, { once: true })

  const clients: InternalClients = {
    call (address, trafficClass, step, timeoutMs, call, maxTimeoutMs = timeoutMs) {
      const { client, connection } = getOrCreateChannel(address, trafficClass)
      const origin = { step, peer: address }
      const startedAt = performance.now()
      const cancellation = new AbortController()
      let timeoutReason: FailureReason | undefined
      let isSettled = false
      let isProbed = false
      let timer: NodeJS.Timeout

      // Any response shows that the connection works. A command that is sent again on another one costs far more than this call.
      function probe (): void {
        isProbed = true
        connection.call(probeProcedure, undefined, { isCompressed: true, signal: cancellation.signal }).catch(() => {})
      }

      // When this process was suspended, a response that arrived meanwhile is read after the timers.
      function schedule (delayMs: number): void {
        timer = setTimeout(() => setImmediate(handleTimeout), delayMs)
      }

      function handleTimeout (): void {
        if (isSettled) return
        const remainingMs = startedAt + maxTimeoutMs - performance.now()
        const isSilent = connection.lastReceivedAt < startedAt
        // A timer may run up to a millisecond early.
        if (remainingMs >= 1 && isResponsive(address) && (!isSilent || !isProbed)) {
          if (isSilent) probe()
          return schedule(Math.min(remainingMs, responsiveMs))
        }
        timeoutReason = isResponsive(address) ? FailureReason.Late : FailureReason.Timeout
        const isBroken = isSilent && (timeoutReason === FailureReason.Timeout || isProbed || wasSilentBefore(connection))
        if (isBroken || connection.isTransferring) replaceConnection(address, trafficClass, connection)
        else if (isSilent) silentSince.set(connection, performance.now())
        cancellation.abort(timeoutReason)
      }

      schedule(timeoutMs)
      const settled = call(client, cancellation.signal).finally(() => {
        isSettled = true
        clearTimeout(timer)
      })
      return ResultAsync.fromPromise(settled, error => {
        if (timeoutReason === undefined) return toFailure(error, origin)
        return createFailure(timeoutReason, origin, `no answer within ${Math.round(performance.now() - startedAt)} ms`, error)
      })
    },
    callReply (address, trafficClass, step, timeoutMs, call, maxTimeoutMs) {
      return clients.call(address, trafficClass, step, timeoutMs, call, maxTimeoutMs).andThen(reply => {
        if (reply === undefined) return err(createFailure(FailureReason.Invalid, { step, peer: address }, 'empty answer'))
        return fromReply(reply)
      }).andThen(value => ok(value))
    }
  }
  return clients
}

function createChannel (connection: CallConnection): Channel {
  return { connection, client: createTRPCClient<InternalRouter>({ links: [createLink(connection)] }) }
}

function createLink (connection: CallConnection): TRPCLink<InternalRouter> {
  return () => ({ op }) => observable(observer => {
    connection.call(op.path, op.input, { isCompressed: op.context[compressedInputKey] === true, signal: op.signal ?? undefined, timeLimitMs: readTimeLimit(op.context) }).then(data => {
      observer.next({ result: { type: 'data', data } })
      observer.complete()
    }, (error: Error) => observer.error(TRPCClientError.from(error)))
  })
}
