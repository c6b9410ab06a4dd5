/**
 * Calls to another host by tRPC. Each peer and class of traffic has connections of its own, and every call has a limit,
 * so that a connection gone silent is given up and replaced.
 * @module
 */
import { createTRPCClient, TRPCClientError, type TRPCLink } from '@trpc/client'
import { observable } from '@trpc/server/observable'
import { err, ok, ResultAsync } from 'neverthrow'
import { createFailure, type Failure, FailureReason, type Step, toFailure } from '../process/program/failure.ts'
import type { Lifecycle } from '../process/program/lifecycle.ts'
import { type CallConnection, createCallConnection } from './callConnection.ts'
import { compressionThresholdBytes } from './frames.ts'
import { fromReply, type Reply } from './reply.ts'
import type { InternalRouter } from './internalRouter.ts'

/** Classes of traffic, which never share a connection. */
export const TrafficClass = { Live: 'live', Control: 'control', Batch: 'batch' } as const
export type TrafficClass = typeof TrafficClass[keyof typeof TrafficClass]

type Client = ReturnType<typeof createTRPCClient<InternalRouter>>

/** Calls to other hosts. */
export interface InternalClients {
  /**
   * Calls a host.
   * @param address - its internal address
   * @param trafficClass - which connections to use
   * @param step - the step, for failures
   * @param timeoutMs - the longest time for the call, in milliseconds
   * @param call - the procedure
   * @returns the value, or a failure
   */
  call<Value> (
    address: string, trafficClass: TrafficClass, step: Step, timeoutMs: number,
    call: (client: Client, signal: AbortSignal) => Promise<Value>
  ): ResultAsync<Value, Failure>
  /**
   * Calls a host that answers with a reply.
   * @returns the value of the reply, or its failure
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
 * Creates the calls to other hosts.
 * @param lifecycle - closes the connections
 * @param thresholdBytes - length of a message from which it is compressed, in bytes; Infinity for never
 * @returns the calls
 */
export function createInternalClients (lifecycle: Lifecycle, thresholdBytes = compressionThresholdBytes): InternalClients {
  const channels = new Map<string, Channel>()

  function channelTo (address: string, trafficClass: TrafficClass): Channel {
    const name = `${trafficClass} ${address}`
    const existing = channels.get(name)
    if (existing !== undefined) return existing
    const created = createChannel(address, thresholdBytes)
    channels.set(name, created)
    return created
  }

  // A call that ran into its limit may have met a silent connection; the next call opens a new one.
  function closeChannel (address: string, trafficClass: TrafficClass): void {
    const name = `${trafficClass} ${address}`
    const channel = channels.get(name)
    if (channel === undefined) return
    channels.delete(name)
    channel.connection.destroy()
  }

  // Tasks that wait for an answer are awaited on closing, so the connections end before them.
  lifecycle.signal.addEventListener('abort', () => {
    for (const channel of channels.values()) channel.connection.destroy()
  }, { once: true })

  const clients: InternalClients = {
    call (address, trafficClass, step, timeoutMs, call) {
      const { client } = channelTo(address, trafficClass)
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
    connection.call(op.path, op.input).then(data => {
      observer.next({ result: { type: 'data', data } })
      observer.complete()
    }, (error: Error) => observer.error(TRPCClientError.from(error)))
  })
}
