/**
 * One attempt of a live request on one backend server, and the progress of the request over its attempts.
 * @module
 */
import { type BackendResponse, BackendResponseKind, type BackendServerClient, type ExchangeFailure } from '../connection/backendServerClient.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../process/program/failure.ts'
import type { BackendServerRecord } from '../process/fleet/backendServerRegistry.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { Counter, Latency } from '../process/program/metrics.ts'
import type { ProcessServices } from '../process/program/processServices.ts'
import type { GatewayRoute } from '../version/gatewayTables.ts'
import type { CallerResponse, CallerRequest } from './callerExchange.ts'
import { createEventSplitter, isEventStream, removeContentLength } from './eventStream.ts'
import { createIdleTimeout, type IdleTimeout } from './idleTimeout.ts'

/** Longest wait for the first event of a stream that may go on elsewhere, in objectives. */
const firstEventTimeoutFactor = 3

/** Longest wait for the next event of a stream that may go on elsewhere, in the longest pauses that are on time. */
const eventPauseTimeoutFactor = 4

/** Shortest of both waits, in milliseconds. */
const minIdleTimeoutMs = 800

/** Status of an answer whose request was run by a server that failed. */
export const serverErrorStatus = 500

const successStatus = 200
const redirectStatus = 300

/** What the task needs. */
export interface ForwardingServices extends Omit<ProcessServices, 'lifecycle'> {
  readonly view: FleetView
  readonly client: BackendServerClient
  readonly availabilityZone: string
  readonly getRegion: (availabilityZone: string) => string | undefined
  readonly region: string
}

type ExecutedResponse = Extract<BackendResponse, { readonly kind: typeof BackendResponseKind.Response }>

/** How an attempt ended. */
export const AttemptEnd = { Complete: 'complete', NotRun: 'not run', Unsent: 'unsent', Broken: 'broken', Disconnected: 'disconnected' } as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** A request over its attempts. */
export interface ForwardingProgress {
  readonly request: CallerRequest
  readonly answer: CallerResponse
  readonly route: GatewayRoute
  readonly service: string
  /** Monotonic time at which the request is given up, in milliseconds. */
  readonly deadlineAt: number
  /** Whether another run is allowed after one that may have begun. */
  readonly isRetryable: boolean
  /** Whether all that was passed on are events with ids, after which another server can go on. */
  hasResumePoint: boolean
  /** Attempts that may have run. */
  runs: number
  notRun: number
  isResponseStarted: boolean
  /** Whether the time of the request ran out during an attempt. */
  isTimedOut: boolean
  /** Last event passed on. */
  lastEvent: number | undefined
  /** Servers that refused this request. */
  readonly avoided: Set<string>
  firstByteAt: number | undefined
  /** Status of the latest answer of a server; 0 before the first. */
  status: number
  /** Whether the end of the answer to the caller is told apart from the end of its connection. */
  isResponseFramed: boolean
  /** Whether the latest answer of a server told its own end. */
  isServerResponseFramed: boolean
  server: BackendServerRecord | undefined
}

/**
 * Sends a request to a backend server and passes the answer on as it arrives.
 * @param progress - the request
 * @param server - the backend server
 * @param services - what the attempt needs
 * @returns how the attempt ended
 */
export async function runForwardedAttempt (progress: ForwardingProgress, server: BackendServerRecord, services: ForwardingServices): Promise<AttemptEnd> {
  const { request, route } = progress
  const { clock, client, view } = services
  const abort = new AbortController()
  const abortAttempt = (): void => abort.abort()
  request.disconnectSignal.addEventListener('abort', abortAttempt, { once: true })
  const timeLeftMs = progress.deadlineAt - clock.now()
  // A timer may fire a moment before the clock shows its time.
  const deadlineTimer = setTimeout(() => {
    progress.isTimedOut = true
    abort.abort()
  }, Math.max(0, timeLeftMs))
  const idleTimeout = createIdleTimeout(canRunAgain(progress) ? Math.max(minIdleTimeoutMs, route.objectiveMs * firstEventTimeoutFactor) : Infinity, abortAttempt)
  try {
    const sent = await client.send({ address: server.address, id: server.id }, {
      id: request.id,
      host: request.host,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      remainder: request.remainder,
      resumeAfter: progress.lastEvent,
      timeLeftMs: Math.max(1, Math.floor(timeLeftMs))
    }, abort.signal)
    if (sent.isErr()) return handleSendFailure(progress, server, sent.error, services)
    view.clearSuspect(server.id)
    return await relayResponse(progress, sent.value, idleTimeout, services)
  } catch (error) {
    reportFailedAttempt(progress, server, toFailure(error, { step: Step.ReadResponse, peer: server.address }), services)
    return AttemptEnd.Broken
  } finally {
    clearTimeout(deadlineTimer)
    idleTimeout.stop()
    request.disconnectSignal.removeEventListener('abort', abortAttempt)
    abort.abort()
  }
}

/**
 * Tells whether the request can be sent again as far as its body is concerned.
 * @param progress - the request
 * @returns false when a part of the body that is not buffered was sent to a server
 */
export function isBodyReplayable ({ request }: ForwardingProgress): boolean {
  return request.remainder?.isConsumed !== true
}

// Whether another server may run the request should the present one fail.
function canRunAgain (progress: ForwardingProgress): boolean {
  return progress.isRetryable && progress.runs + 1 < progress.route.attempts && isBodyReplayable(progress)
}

function handleSendFailure (progress: ForwardingProgress, server: BackendServerRecord, { sent, failure }: ExchangeFailure, services: ForwardingServices): AttemptEnd {
  if (progress.request.disconnectSignal.aborted) return AttemptEnd.Disconnected
  reportFailedAttempt(progress, server, failure, services)
  if (!sent || failure.reason === FailureReason.Timeout || failure.reason === FailureReason.Refused) services.view.markSuspect(server.id, failure.reason)
  return sent ? AttemptEnd.Broken : AttemptEnd.Unsent
}

function reportFailedAttempt (progress: ForwardingProgress, server: BackendServerRecord, failure: Failure, services: ForwardingServices): void {
  if (progress.request.disconnectSignal.aborted) return
  services.metrics.count(Counter.AttemptFailures, failure.reason)
  services.logger.write(LogEvents.attemptFailed, { requestId: progress.request.id, failure, value: progress.runs, inputs: { server: server.id, revision: server.revision } })
}

async function relayResponse (progress: ForwardingProgress, received: BackendResponse, idleTimeout: IdleTimeout, services: ForwardingServices): Promise<AttemptEnd> {
  const { answer: response } = progress
  if (received.kind === BackendResponseKind.NotRun) return AttemptEnd.NotRun
  progress.status = received.status
  progress.isServerResponseFramed = received.isFramed
  const isSuccess = received.status >= successStatus && received.status < redirectStatus
  if (!isSuccess) {
    if (progress.isResponseStarted) return AttemptEnd.Broken
    if (received.status >= serverErrorStatus && canRunAgain(progress)) return AttemptEnd.Broken
  }
  if (isSuccess && isEventStream(received.headers)) return await relayEvents(progress, received, idleTimeout, services)
  // Another server would begin a body without events from its start.
  if (progress.isResponseStarted) return AttemptEnd.Broken
  progress.hasResumePoint = false
  progress.firstByteAt ??= services.clock.now()
  idleTimeout.stop()
  let isFirst = true
  for await (const chunk of received.body) {
    if (isFirst) startResponse(progress, received, received.headers)
    isFirst = false
    await response.write(chunk)
  }
  if (isFirst) startResponse(progress, received, received.headers)
  return AttemptEnd.Complete
}

function startResponse (progress: ForwardingProgress, received: ExecutedResponse, headers: readonly string[]): void {
  if (progress.isResponseStarted) return
  progress.isResponseStarted = true
  progress.isResponseFramed = received.isFramed
  progress.answer.start(received.status, headers, received.isFramed)
}

async function relayEvents (progress: ForwardingProgress, received: ExecutedResponse, idleTimeout: IdleTimeout, services: ForwardingServices): Promise<AttemptEnd> {
  const { answer: response, route } = progress
  const splitter = createEventSplitter()
  for await (const chunk of received.body) {
    idleTimeout.restart(Math.max(minIdleTimeoutMs, route.pauseMs * eventPauseTimeoutFactor))
    const eventChunks: Buffer[] = []
    for (const event of splitter.push(chunk)) {
      if (event.id === undefined) progress.hasResumePoint = false
      else {
        if (progress.lastEvent !== undefined && event.id !== progress.lastEvent + 1) return AttemptEnd.Broken
        progress.lastEvent = event.id
      }
      eventChunks.push(event.bytes)
    }
    if (eventChunks.length === 0) continue
    if (progress.firstByteAt === undefined) {
      progress.firstByteAt = services.clock.now()
      services.metrics.record(Latency.FirstToken, progress.firstByteAt - progress.request.receivedAt)
    }
    startResponse(progress, received, removeContentLength(received.headers))
    await response.write(eventChunks.length === 1 ? eventChunks[0] as Buffer : Buffer.concat(eventChunks))
  }
  if (splitter.pendingBytes > 0) {
    throw createFailure(FailureReason.Incomplete, { step: Step.ReadResponse, peer: progress.server?.address }, 'the stream ended in the middle of an event')
  }
  startResponse(progress, received, removeContentLength(received.headers))
  return AttemptEnd.Complete
}
