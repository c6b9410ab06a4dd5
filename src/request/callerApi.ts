/**
 * HTTP API for callers, and for announcements of backend servers.
 * @module
 */
import { randomUUID } from 'node:crypto'
import type { ServerResponse } from 'node:http'
import { type Context, Hono } from 'hono'
import { streamSSE } from 'hono/streaming'
import * as z from 'zod'
import type { ControlClient } from '../connection/controlClient.ts'
import type { Announcement } from '../connection/share.ts'
import type { Clock } from '../process/program/clock.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { EntryHost } from '../process/state/sessions.ts'
import { type Configuration, findPool, findRoute } from '../version/tables.ts'
import { receiveBody } from './bodyMiddleware.ts'
import { createBodyRefusal } from './bodyRefusal.ts'
import { callerStallTimeoutMs, createResponseQueue, isWrittenWithin } from './responseQueue.ts'
import type { ErrorResponses } from './errorResponses.ts'
import { createJobApi } from './jobApi.ts'
import { runLiveRequest } from './liveRequest.ts'
import type { LiveRequest, LiveServices } from './liveServices.ts'
import { Execution, createRefusal, type Refusal, RefusalReason } from './refusal.ts'

/** Maximum size of the body of a live request, in bytes. */
export const bodyLimitBytes = 256 * 1024

/** Maximum size of an announcement of a backend server, in bytes; the longest list of cached prefixes takes 17 KiB. */
const maxAnnouncementBytes = 64 * 1024

/** Interval at which backend servers renew their announcements, in milliseconds. */
export const renewMs = 1_000

const requestSchema = z.strictObject({
  input: z.string(),
  maxTokens: z.number().int().min(1).max(100_000).default(256),
  stream: z.boolean().default(false)
})

const announcementSchema = z.strictObject({
  address: z.string(),
  availabilityZone: z.string(),
  region: z.string(),
  pool: z.string(),
  capacity: z.number().int().min(1),
  models: z.array(z.string()),
  fencingChecked: z.boolean(),
  incarnation: z.string(),
  sequence: z.number().int(),
  leaving: z.boolean(),
  running: z.number().int().min(0),
  loadAgeMs: z.number().min(0).max(60_000).optional(),
  cachedPrefixes: z.array(z.string().max(64)).max(256).optional()
})

/** Dependencies and settings of the caller API. */
export interface CallerApiInputs {
  readonly live: LiveServices
  readonly control: ControlClient
  readonly errors: ErrorResponses
  readonly clock: Clock
  readonly configuration: () => Configuration
  /** Returns the refusal for every new request, for example while the configuration is stale; undefined when requests are accepted. */
  readonly gate: () => Refusal | undefined
  /** Returns the entry hosts for callers, the nearest first. */
  readonly entryHosts: () => readonly EntryHost[]
  /** How long callers may cache addresses, in milliseconds. */
  readonly addressKeepMs: number
  readonly recordAnnouncement: (announcement: Announcement) => void
}

/**
 * Creates the caller API.
 * @param inputs - dependencies and settings of the API
 * @returns the routes
 */
export function createCallerApi (inputs: CallerApiInputs): Hono {
  const { errors, clock } = inputs
  const api = new Hono()

  api.get('/v1/addresses', context => context.json({
    addresses: inputs.entryHosts().map(({ callerAddress, availabilityZone, region }) => ({ address: callerAddress, availabilityZone, region })),
    keepMs: inputs.addressKeepMs
  }))

  const refuseBody = createBodyRefusal(errors, ensureRequestId)
  api.use('/v1/backend-servers', receiveBody({ maxBytes: maxAnnouncementBytes, refuse: refuseBody }))
  api.use('/v1/routes/*', receiveBody({ maxBytes: bodyLimitBytes, refuse: refuseBody }))

  api.post('/v1/backend-servers', async context => {
    const parsed = announcementSchema.safeParse(await readJson(context))
    if (!parsed.success) {
      return errors.send(context, ensureRequestId(context), createRefusal(RefusalReason.InvalidRequest, parsed.error.issues[0]?.message ?? 'invalid announcement'))
    }
    inputs.recordAnnouncement(parsed.data)
    return context.json({ renewMs, addresses: inputs.entryHosts().map(host => host.callerAddress) })
  })

  api.post('/v1/routes/:route/requests', async context => {
    const requestId = ensureRequestId(context)
    const gateRefusal = inputs.gate()
    if (gateRefusal !== undefined) return errors.send(context, requestId, gateRefusal)
    const request = await parseRequest(context, requestId)
    if ('reason' in request) return errors.send(context, requestId, request)
    return request.isStreaming ? streamResponse(context, request.live) : await sendCompleteResponse(context, request.live)
  })

  api.route('/v1/jobs', createJobApi({
    control: inputs.control,
    errors,
    getAccount: context => context.req.header('jaychute-account'),
    restricted: true,
    ensureRequestId,
    gate: route => inputs.gate() ?? (findRoute(inputs.configuration(), route) === undefined ? createRefusal(RefusalReason.UnknownRoute, `there is no route "${route}"`) : undefined)
  }))

  api.notFound(context => errors.send(context, ensureRequestId(context), createRefusal(RefusalReason.NotFound, 'there is no such path')))
  api.onError((error, context) => errors.send(context, ensureRequestId(context), {
    // An unexpected error may have occurred after the request was sent to a backend server.
    reason: RefusalReason.Internal, execution: Execution.Unknown, message: error.message
  }))

  async function parseRequest (context: Context, requestId: string): Promise<Refusal | { readonly live: LiveRequest, readonly isStreaming: boolean }> {
    const configuration = inputs.configuration()
    const routeName = context.req.param('route') ?? ''
    const route = findRoute(configuration, routeName)
    const pool = route === undefined ? undefined : findPool(configuration, route.pool)
    if (route === undefined || pool === undefined) return createRefusal(RefusalReason.UnknownRoute, `there is no route "${routeName}"`)
    if (context.req.header('content-type')?.split(';')[0] !== 'application/json') {
      return createRefusal(RefusalReason.UnsupportedContentType, 'a request is sent as application/json')
    }
    const account = context.req.header('jaychute-account')
    if (account === undefined || account === '') return createRefusal(RefusalReason.InvalidRequest, 'the header jaychute-account is missing')
    const deadlineMs = Number(context.req.header('jaychute-deadline-ms') ?? route.deadlineMs)
    if (!(deadlineMs > 0)) return createRefusal(RefusalReason.InvalidRequest, 'the header jaychute-deadline-ms is not a positive number')
    const parsed = requestSchema.safeParse(await readJson(context))
    if (!parsed.success) return createRefusal(RefusalReason.InvalidRequest, parsed.error.issues[0]?.message ?? 'invalid request')
    const idempotent = route.idempotent && context.req.header('jaychute-idempotent') !== 'false'
    return {
      isStreaming: parsed.data.stream,
      live: {
        requestId,
        account,
        route,
        pool,
        input: parsed.data.input,
        maxTokens: parsed.data.maxTokens,
        idempotent,
        deadline: clock.now() + Math.min(deadlineMs, route.deadlineMs),
        signal: context.req.raw.signal
      }
    }
  }

  async function sendCompleteResponse (context: Context, live: LiveRequest): Promise<Response> {
    const texts: string[] = []
    const result = await runLiveRequest(live, inputs.live, chunk => { texts.push(chunk.text) })
    if (result.isErr()) return errors.send(context, live.requestId, result.error)
    closeWhenStalled(context)
    return context.json({ requestId: live.requestId, text: texts.join(''), tokens: result.value })
  }

  // Status and headers are sent with the first chunk, so that a refusal before it has its own status.
  async function streamResponse (context: Context, live: LiveRequest): Promise<Response> {
    const stallAbort = new AbortController()
    const signal = AbortSignal.any([live.signal, stallAbort.signal])
    const queue = createResponseQueue(signal)
    const running = runLiveRequest({ ...live, signal }, inputs.live, chunk => queue.push(chunk)).finally(() => queue.end())
    let chunk = await queue.take()
    if (chunk === undefined) {
      const result = await running
      if (result.isErr()) return errors.send(context, live.requestId, result.error)
    }
    return streamSSE(context, async output => {
      for (; chunk !== undefined; chunk = await queue.take()) {
        const written = output.writeSSE({ event: 'token', id: String(chunk.offset), data: JSON.stringify(chunk) })
        if (await isWrittenWithin(written, callerStallTimeoutMs)) continue
        stallAbort.abort()
        closeStalledConnection(context)
        return
      }
      const result = await running
      closeWhenStalled(context)
      if (result.isOk()) await output.writeSSE({ event: 'done', data: JSON.stringify({ requestId: live.requestId, tokens: result.value }) })
      else await output.writeSSE({ event: 'error', data: JSON.stringify(errors.body(live.requestId, result.error)) })
    })
  }

  function closeWhenStalled (context: Context): void {
    const outgoing = getOutgoing(context)
    if (outgoing === undefined) return
    const timer = setTimeout(() => closeStalledConnection(context), callerStallTimeoutMs)
    outgoing.once('close', () => clearTimeout(timer))
  }

  function closeStalledConnection (context: Context): void {
    inputs.live.logger.write(LogEvents.callerStalled, { requestId: ensureRequestId(context) })
    getOutgoing(context)?.destroy()
  }

  return api
}

/**
 * Returns the id of a request, generated if the caller sent none, and sets it as a header of the response.
 * @param context - the request
 * @returns the id
 */
export function ensureRequestId (context: Context): string {
  const requestId = context.res.headers.get('jaychute-request-id') ?? context.req.header('jaychute-request-id') ?? randomUUID()
  context.header('jaychute-request-id', requestId)
  return requestId
}

// Undefined when the API is called without an HTTP server.
function getOutgoing (context: Context): ServerResponse | undefined {
  return (context.env as { readonly outgoing?: ServerResponse } | undefined)?.outgoing
}

async function readJson (context: Context): Promise<unknown> {
  try {
    return await context.req.json()
  } catch {
    return undefined
  }
}
