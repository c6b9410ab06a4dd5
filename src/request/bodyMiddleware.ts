/**
 * Receives the bodies of requests to an API, within the memory that the process has for clients, before its routes run.
 * @module
 */
import type { Context, MiddlewareHandler } from 'hono'
import { bodyLimit } from 'hono/body-limit'
import type { ClientExchange } from '../connection/clientServer.ts'
import { BodyProblem } from '../connection/opaqueRequest.ts'
import { closeWhenEnded, openUpload, receiveWhole, type UploadDescription } from '../connection/upload.ts'

/** Longest time without a further chunk of a body, in milliseconds. */
const idleTimeoutMs = 15_000

/** Status for a client that has disconnected, which receives no response. */
const disconnectedStatus = 499

/** Size from which a body waits for memory before it is decoded, in bytes. */
const minReservedBytes = 256 * 1024

/** Longest wait for it, in milliseconds. */
const decodingWaitMs = 2_000

/** Bodies that routes receive. */
export interface BodyRule extends Pick<UploadDescription, 'isOrder'> {
  /** Longest body, in bytes. */
  readonly maxBytes: number
  /** Memory for a large body while it is decoded and passed on, in multiples of the body; undefined for none. */
  readonly decodingFactor?: number
  /**
   * Refuses a request whose body can't be received. The request has not run and never will.
   * @param context - the request
   * @param problem - why
   * @returns the response
   */
  readonly refuse: (context: Context, problem: BodyProblem) => Response
}

/**
 * Creates the middleware. A body counts to the memory for clients until the response has ended.
 * @param rule - the bodies that the routes receive
 * @returns the middleware
 */
export function receiveBody (rule: BodyRule): MiddlewareHandler {
  const limitWithoutServer = bodyLimit({ maxSize: rule.maxBytes, onError: context => refuse(context, BodyProblem.TooLarge) })

  function refuse (context: Context, problem: BodyProblem): Response {
    // The rest of the body could not be distinguished from the next request on the connection.
    context.header('connection', 'close')
    return rule.refuse(context, problem)
  }

  return async (context, next) => {
    const { incoming, outgoing, resources } = (context.env ?? {}) as Partial<ClientExchange>
    if (incoming === undefined || outgoing === undefined || resources === undefined) return await limitWithoutServer(context, next)
    const upload = openUpload(incoming, { bodyBytes: rule.maxBytes, idleMs: idleTimeoutMs }, resources, rule)
    closeWhenEnded(upload, outgoing)
    const received = await receiveWhole(upload).catch(() => undefined)
    if (received === undefined) return new Response(null, { status: disconnectedStatus })
    if (received.isErr()) {
      incoming.discardRest()
      return refuse(context, received.error)
    }
    incoming.rawBody = received.value
    const { length } = received.value
    if (rule.decodingFactor === undefined || length < minReservedBytes) return await next()
    const decoding = await resources.budget.reserve(length * rule.decodingFactor, decodingWaitMs)
    if (decoding === undefined) return refuse(context, BodyProblem.GaveWay)
    try {
      return await next()
    } finally {
      decoding.close()
    }
  }
}
