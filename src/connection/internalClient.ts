/**
 * The tRPC client for calls to other hosts. Each pair of peer and traffic class has a connection of its own, and every call
 * has a timeout, so that an unresponsive connection is closed and replaced.
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
   * @returns the value, or a failure
   */
  call<Value> (
    address: string, trafficClass: TrafficClass, step: Step, timeoutMs: number,
    call: (client: Client, signal: AbortSignal) => Promise<Value>
  ): ResultAsync<Value, Failure>
  /**
   * Calls a procedure that returns a reply.
   * @param address - internal address of the host
   * @param trafficClass - the traffic class, which selects the connection
   * @param step - the step named in failures
   * @param timeoutMs - timeout for the call, in milliseconds
   * @param call - calls the procedure
   * @returns the value of the reply, or the failure of the reply or of the call
   */
  callReply<Value> (
    address: string, trafficClass: TrafficClass, step: Step, timeoutMs: number,
    call: (client: Client, signal: AbortSignal) => Promise<Reply<Value>>
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
 * @param metrics - counts the calls that end because another call on their connection has timed out
 * @returns the clients
 */
export function createInternalClients (lifecycle: Lifecycle, thresholdBytes = compressionThresholdBytes, metrics?: Metrics): InternalClients {
  const channels = new Map<string, Channel>()

  function getOrCreateChannel (address: string, trafficClass: TrafficClass): Channel {
    const name = `${trafficClass} ${address}`
    const existing = channels.get(name)
    if (existing !== undefined) return existing
    const created = createChannel(address, thresholdBytes)
    channels.set(name, created)
    return created
  }

  // After a timeout the connection may be unresponsive, so it is closed; the next call opens a new one.
  function closeChannel (address: string, trafficClass: TrafficClass): void {
    const name = `${trafficClass} ${address}`
    const channel = channels.get(name)
    if (channel === undefined) return
    channels.delete(name)
    // The call that has timed out is pending too.
    metrics?.count(Counter.InterruptedCalls, trafficClass, channel.connection.pendingCalls - 1)
    channel.connection.destroy()
  }

  // Shutdown waits for tasks that are waiting for a response, so the connections are closed before that.
  lifecycle.signal.addEventListener('abort', () => {
    for (const channel of channels.values()) channel.connection.destroy()
  }, { once: true })

  const clients: InternalClients = {
    call (address, trafficClass, step, timeoutMs, call) {
      const { client } = getOrCreateChannel(address, trafficClass)
      const origin = { step, peer: address }
      let isTimedOut = false
      const timer = setTimeout(() => {
        isTimedOut = true
        closeChannel(address, trafficClass)
      }, timeoutMs)
      return ResultAsync.fromPromise(call(client, lifecycle.signal).finally(() => clearTimeout(timer)), error => {
        if (!isTimedOut) return toFailure(error, origin)
        return createFailure(FailureReason.Timeout, origin, `no answer within ${timeoutMs} ms`, error)
      })
    },
    callReply (address, trafficClass, step, timeoutMs, call) {
      return clients.call(address, trafficClass, step, timeoutMs, call).andThen(reply => {
        if (reply === undefined) return err(createFailure(FailureReason.Invalid, { step, peer: address }, 'empty answer'))
        return fromReply(reply)
      }).andThen(value => ok(value))
    }
  }
  return clients
}

function createChannel (address: string, thresholdBytes: number): Channel {
  const connection = createCallConnection(address, thresholdBytes)
  return { connection, client: createTRPCClient<InternalRouter>({ links: [createLink(connection)] }) }
}

function createLink (connection: CallConnection): TRPCLink<InternalRouter> {
  return () => ({ op }) => observable(observer => {
    connection.call(op.path, op.input, op.context[compressedInputKey] === true).then(data => {
      observer.next({ result: { type: 'data', data } })
      observer.complete()
    }, (error: Error) => observer.error(TRPCClientError.from(error)))
  })
}
