/**
 * One attempt of a forwarded live request on a backend server, and the progress of the request over its attempts.
 * @module
 */
import { type BackendResponse, BackendResponseKind, type BackendServerClient, confirmResponseEnd, type ExchangeFailure, type ExecutedResponse } from '../connection/backendServerClient.ts'
import type { FleetClient } from '../connection/controlClient.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../process/program/failure.ts'
import type { BackendServerRecord } from '../process/fleet/backendServerRegistry.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import type { StreamOrigins } from '../process/fleet/streamOrigins.ts'
import type { StreamOrigin } from '../process/fleet/streamRecords.ts'
import type { GatewayDrain } from '../process/fleet/gatewayDrain.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { Counter, Latency } from '../process/program/metrics.ts'
import type { ProcessServices } from '../process/program/processServices.ts'
import { maxTimerMs } from '../process/program/units.ts'
import type { LivePlaces } from './placement/competition.ts'
import type { ClientAccount } from '../version/accounts.ts'
import { type GatewayRoute, RouteKind } from '../version/gatewayTables.ts'
import type { CallerResponse, CallerRequest } from './callerExchange.ts'
import { createEventSplitter, isEventStream, removeContentLength } from './eventStream.ts'
import { createIdleTimeout, type IdleTimeout } from './idleTimeout.ts'
import { isReplaced } from './streamContinuation.ts'
import { createStreamPace } from './streamPace.ts'
import type { RequestTraits } from './requestTraits.ts'

/** Timeout for the headers and first event of a response while another server may still run the request, in latency objectives of the route. */
const firstEventTimeoutFactor = 3

/** Timeout between two events of the stream of such a request, as a multiple of the route's latency objective between two events. */
const eventPauseTimeoutFactor = 4

/** Lower bound of both timeouts, in milliseconds. */
export const minIdleTimeoutMs = 800

/** Lowest status with which a server reports that it failed while running a request. */
export const minServerErrorStatus = 500

const minSuccessStatus = 200
const minRedirectStatus = 300

/** Dependencies and settings of forwarded requests. */
export interface ForwardingServices extends Omit<ProcessServices, 'lifecycle'> {
  readonly view: FleetView
  readonly drain: Pick<GatewayDrain, 'lastEndAt'>
  readonly client: BackendServerClient
  readonly origins: StreamOrigins
  readonly control: Pick<FleetClient, 'reportCrash' | 'acquireTrial' | 'acquirePermit' | 'acquireAllotment'>
  readonly availabilityZone: string
  /** Returns the region of an availability zone; undefined when the settings do not name it. */
  readonly getRegion: (availabilityZone: string) => string | undefined
  readonly region: string
}

/** How an attempt ended. */
export const ForwardedAttemptEnd = {
  /** The response was relayed to its end. */
  Complete: 'complete',
  /** The backend server reported that it did not run the request. */
  NotRun: 'not run',
  /** The request could not be sent, so it has not run. */
  Unsent: 'unsent',
  /** A stream without framing was relayed to its end, which another server has to confirm by resuming it. */
  Unconfirmed: 'unconfirmed',
  /** The attempt failed after the request was sent, so it may have run. */
  Broken: 'broken',
  /** The caller disconnected before the backend server responded. */
  Disconnected: 'disconnected'
} as const
export type ForwardedAttemptEnd = typeof ForwardedAttemptEnd[keyof typeof ForwardedAttemptEnd]

/** State of a request over its attempts. */
export interface ForwardingProgress {
  readonly request: CallerRequest
  readonly answer: CallerResponse
  readonly route: GatewayRoute
  /** Client account of the caller; undefined if the request needs none. */
  readonly account: ClientAccount | undefined
  /** Service of the route that gets the request; that of the origin for a caller's resumption. */
  service: string
  /** What wrote the first event of the stream; undefined before it. Only servers of the same service and software version may continue it. */
  origin: StreamOrigin | undefined
  /** Records of the servers that wrote the relayed events, as they were when the request was sent to each; in order. */
  readonly writers: BackendServerRecord[]
  /** Places at the backend servers that the request may take before it has run. */
  readonly places: LivePlaces
  /** Whether the request resumes a stream that an earlier attempt of the caller received in part. */
  readonly isResumption: boolean
  readonly traits: RequestTraits
  /** Events relayed so far. */
  events: number
  /** Monotonic time at which the request is given up, in milliseconds. */
  readonly deadlineAt: number
  /** Whether the request may run again after an attempt that may have run. */
  readonly isRetryable: boolean
  /** Whether the relayed part of the response consists of events with ids only, so that another server can resume it. */
  hasResumePoint: boolean
  /** Number of failed attempts that may have run. */
  runs: number
  /** Whether an attempt was sent that was not reported as not run. */
  mayHaveRun: boolean
  /** Number of attempts that have not run. */
  notRun: number
  /** Whether status and headers were sent to the caller. */
  isResponseStarted: boolean
  /** Whether the deadline passed during an attempt. */
  isTimedOut: boolean
  /** Id of the last event relayed. */
  lastEvent: number | undefined
  /** Ids of servers that refused or failed this request; cleared when no candidate is left, so that each may be tried again. */
  readonly avoided: Set<string>
  /** Whether the current attempt has received output: the first event of a stream, or the first bytes of another body. */
  hasOutput: boolean
  /** Why the latest attempt failed; undefined before the first failure. */
  failureReason: FailureReason | undefined
  /** Number of backend servers that crashed under the request. */
  crashes: number
  /** Whether the request must not be sent again, since backend servers crash under requests like it. */
  isBlocked: boolean
  /** Whether the leader has permitted the request although it has a trait on trial. */
  hasTrial: boolean
  /** Monotonic time at which relaying of the response began, in milliseconds. */
  firstByteAt: number | undefined
  /** Status of the latest response of a server; 0 before the first. */
  status: number
  /** Whether the end of the response to the caller confirms that it is complete. */
  isEndCertain: boolean
  /** Server of the latest attempt. */
  server: BackendServerRecord | undefined
}

/**
 * Sends a request to a backend server and relays the response as it arrives.
 * @param progress - state of the request
 * @param server - the backend server
 * @param services - dependencies and settings of the attempt
 * @returns how the attempt ended
 */
export async function runForwardedAttempt (progress: ForwardingProgress, server: BackendServerRecord, services: ForwardingServices): Promise<ForwardedAttemptEnd> {
  const { request, route } = progress
  const { clock, client, view } = services
  progress.hasOutput = false
  const abort = new AbortController()
  const abortAttempt = (): void => abort.abort()
  request.disconnectSignal.addEventListener('abort', abortAttempt, { once: true })
  const timeLeftMs = progress.deadlineAt - clock.now()
  // A timer may fire slightly before the clock reaches its time, so the timeout is recorded here, not derived from the clock.
  const deadlineTimer = setTimeout(() => {
    progress.isTimedOut = true
    abort.abort()
  }, Math.min(maxTimerMs, Math.max(0, timeLeftMs)))
  const unregister = view.quarantine.registerAttempt(progress.traits, () => {
    if (!progress.hasOutput) abort.abort()
  })
  const idleTimeout = createIdleTimeout(canRunAgain(progress) ? Math.max(minIdleTimeoutMs, route.objectiveMs * firstEventTimeoutFactor) : Infinity, abortAttempt)
  try {
    const sentAt = clock.now()
    const sent = await client.send({ address: server.address, id: server.id }, {
      id: request.id,
      host: request.host,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      remainder: request.remainder,
      resumeAfter: progress.lastEvent,
      timeLeftMs: Math.max(1, Math.floor(timeLeftMs)),
      account: progress.account?.name,
      isRepeatable: canRunAgain(progress)
    }, abort.signal)
    if (sent.isErr()) return handleSendFailure(progress, server, sent.error, services)
    view.clearSuspect(server.id)
    view.requestLimits.record(server.id, sent.value.requestLimit, sentAt)
    view.leavingServers.record(server, sent.value.isLeaving)
    view.paceSamples.recordLoad(server, sent.value.load)
    return await relayResponse(progress, server, sent.value, idleTimeout, services)
  } catch (error) {
    reportFailedAttempt(progress, server, toFailure(error, { step: Step.ReadResponse, peer: server.address }), services)
    return ForwardedAttemptEnd.Broken
  } finally {
    unregister()
    clearTimeout(deadlineTimer)
    idleTimeout.stop()
    request.disconnectSignal.removeEventListener('abort', abortAttempt)
    abort.abort()
  }
}

/**
 * Checks whether the body of a request can be sent again.
 * @param progress - state of the request
 * @returns false once reading of the unbuffered part of the body has begun
 */
export function isBodyReplayable ({ request }: ForwardingProgress): boolean {
  return request.remainder?.isConsumed !== true
}

// Returns whether another server may run the request if the current one fails.
function canRunAgain (progress: ForwardingProgress): boolean {
  return progress.isRetryable && progress.runs + 1 < progress.route.attempts && isBodyReplayable(progress)
}

function handleSendFailure (progress: ForwardingProgress, server: BackendServerRecord, { sent, failure }: ExchangeFailure, services: ForwardingServices): ForwardedAttemptEnd {
  if (progress.request.disconnectSignal.aborted) return ForwardedAttemptEnd.Disconnected
  reportFailedAttempt(progress, server, failure, services)
  if (!sent || failure.reason === FailureReason.Timeout || failure.reason === FailureReason.Refused) services.view.markSuspect(server.id, failure.reason)
  return sent ? ForwardedAttemptEnd.Broken : ForwardedAttemptEnd.Unsent
}

function reportFailedAttempt (progress: ForwardingProgress, server: BackendServerRecord, failure: Failure, services: ForwardingServices): void {
  if (progress.request.disconnectSignal.aborted) return
  progress.failureReason = failure.reason
  if (failure.reason === FailureReason.Reset || failure.reason === FailureReason.Incomplete) services.metrics.count(Counter.BrokenAttempts, progress.hasOutput ? 'after output' : 'before output')
  services.metrics.count(Counter.AttemptFailures, failure.reason)
  const { request, runs, hasOutput } = progress
  services.logger.write(LogEvents.attemptFailed, { requestId: request.id, failure, value: runs, inputs: { server: server.id, revision: server.revision, hasOutput, parts: request.sharedPromptParts.join(' ') } })
}

async function relayResponse (progress: ForwardingProgress, server: BackendServerRecord, received: BackendResponse, idleTimeout: IdleTimeout, services: ForwardingServices): Promise<ForwardedAttemptEnd> {
  const { answer: response } = progress
  if (received.kind === BackendResponseKind.NotRun) return ForwardedAttemptEnd.NotRun
  progress.status = received.status
  const isSuccess = received.status >= minSuccessStatus && received.status < minRedirectStatus
  if (!isSuccess) {
    if (progress.isResponseStarted) return ForwardedAttemptEnd.Broken
    if (received.status >= minServerErrorStatus && canRunAgain(progress)) return ForwardedAttemptEnd.Broken
  }
  if (isSuccess && isEventStream(received.headers)) return await relayEvents(progress, server, received, idleTimeout, services)
  // A body without events cannot be resumed: another server would send it from the start.
  if (progress.isResponseStarted) return ForwardedAttemptEnd.Broken
  progress.hasResumePoint = false
  progress.firstByteAt ??= services.clock.now()
  idleTimeout.stop()
  let isFirst = true
  for await (const chunk of received.body) {
    progress.hasOutput = true
    if (isFirst) startResponse(progress, received, received.headers)
    if (isFirst && isSuccess) services.view.quarantine.recordOutput(progress.traits)
    isFirst = false
    await response.write(chunk)
  }
  await checkEnd(received, server, services)
  if (isFirst) startResponse(progress, received, received.headers)
  return ForwardedAttemptEnd.Complete
}

function startResponse (progress: ForwardingProgress, received: ExecutedResponse, headers: readonly string[]): void {
  if (progress.isResponseStarted) return
  progress.isResponseStarted = true
  const canConfirmEnd = isEventStream(headers) && progress.hasResumePoint && progress.origin?.softwareVersion !== undefined && canRunAgain(progress)
  progress.isEndCertain = received.isFramed || canConfirmEnd
  progress.answer.start(received.status, headers, progress.isEndCertain)
}

// Throws a failure if the end of the connection, which was taken for the end of the response, may be a crash of the server.
async function checkEnd (received: ExecutedResponse, server: BackendServerRecord, { client }: ForwardingServices): Promise<void> {
  const confirmed = await confirmResponseEnd(received, { address: server.address, id: server.id }, client)
  if (confirmed.isErr()) throw confirmed.error
}

// The record is sent while the first event is relayed, which does not wait for it.
function recordOrigin (progress: ForwardingProgress, { service, softwareVersion }: BackendServerRecord, { origins }: ForwardingServices): void {
  const { request, route, hasResumePoint } = progress
  progress.origin = { service, softwareVersion }
  if (route.kind === RouteKind.Streaming && route.resumable && hasResumePoint) origins.record(request.id, progress.origin)
}

// Which version wrote the relayed events is not known. The record of a resumed stream belongs to the attempt that the request names; this
// gateway may have found it at another host, and revokes only records of its own.
function revokeOrigin (progress: ForwardingProgress, { origins }: ForwardingServices): void {
  const { request, isResumption, origin } = progress
  if (origin?.softwareVersion !== undefined) {
    const id = isResumption ? request.resumes ?? '' : request.id
    if (isResumption) origins.record(id, origin)
    origins.revoke(id)
  }
  progress.origin = { service: progress.service, softwareVersion: undefined }
}

/**
 * Revokes the origin of a stream if another software version is by now known to run under the id of a server that wrote events of it.
 * The heartbeat of a restart may arrive after the events of the new start, and nothing tells the events of one start from those of another.
 * @param progress - state of the request
 * @param services - dependencies and settings of the request
 */
export function verifyOrigin (progress: ForwardingProgress, services: ForwardingServices): void {
  const { origin, writers } = progress
  if (origin === undefined || origin.softwareVersion === undefined) return
  if (writers.some(writer => isReplaced(writer, services.view.findServer(writer.id)))) revokeOrigin(progress, services)
}

async function relayEvents (progress: ForwardingProgress, server: BackendServerRecord, received: ExecutedResponse, idleTimeout: IdleTimeout, services: ForwardingServices): Promise<ForwardedAttemptEnd> {
  const { answer: response, route } = progress
  const splitter = createEventSplitter()
  const pace = createStreamPace()
  const isResumed = progress.isResponseStarted
  const isContinuation = progress.origin !== undefined
  let isAwaitingResumption = isResumed
  for await (const chunk of received.body) {
    const isOtherVersion = isReplaced(server, services.view.findServer(server.id))
    if (isOtherVersion && isContinuation) return ForwardedAttemptEnd.Broken
    const eventChunks: Buffer[] = []
    for (const event of splitter.push(chunk)) {
      // A resumed stream continues with the next id. Anything before it does not belong to the stream that the caller receives.
      if (isAwaitingResumption && event.id === undefined) return ForwardedAttemptEnd.Broken
      isAwaitingResumption = false
      if (event.id === undefined) progress.hasResumePoint = false
      else {
        if (progress.lastEvent !== undefined && event.id !== progress.lastEvent + 1) return ForwardedAttemptEnd.Broken
        progress.lastEvent = event.id
      }
      eventChunks.push(event.bytes)
    }
    if (eventChunks.length === 0) continue
    const arrivedAt = services.clock.now()
    pace.recordEvents(eventChunks.length, arrivedAt)
    progress.events += eventChunks.length
    if (isOtherVersion) revokeOrigin(progress, services)
    else if (progress.origin === undefined) recordOrigin(progress, server, services)
    if (!progress.hasOutput) {
      services.view.quarantine.recordOutput(progress.traits)
      progress.writers.push(server)
    }
    progress.hasOutput = true
    // The time for which the caller does not read is not the server's.
    idleTimeout.stop()
    if (progress.firstByteAt === undefined) {
      progress.firstByteAt = services.clock.now()
      services.metrics.record(Latency.FirstToken, progress.firstByteAt - progress.request.receivedAt)
    }
    startResponse(progress, received, removeContentLength(received.headers))
    await response.write(eventChunks.length === 1 ? eventChunks[0] as Buffer : Buffer.concat(eventChunks))
    pace.recordWrite(services.clock.now() - arrivedAt)
    idleTimeout.restart(Math.max(minIdleTimeoutMs, route.pauseMs * eventPauseTimeoutFactor))
  }
  const eventMs = pace.getEventMs()
  if (received.load?.slowdown !== undefined && eventMs !== undefined) services.view.paceSamples.recordStream(server.id, eventMs)
  if (splitter.pendingBytes > 0) {
    throw createFailure(FailureReason.Incomplete, { step: Step.ReadResponse, peer: server.address }, 'the stream ended in the middle of an event')
  }
  // A resumed stream may have nothing left but its end.
  if (!received.isFramed && !progress.hasOutput && progress.lastEvent === undefined) {
    throw createFailure(FailureReason.Incomplete, { step: Step.ReadResponse, peer: server.address }, 'the connection closed before the first event of a stream without framing')
  }
  await checkEnd(received, server, services)
  // The heartbeat of a restart may arrive after the last event, or instead of any.
  if (isContinuation && isReplaced(server, services.view.findServer(server.id))) return ForwardedAttemptEnd.Broken
  startResponse(progress, received, removeContentLength(received.headers))
  // A faulty server may also end the connection early. The end is certain if another server has nothing to add to the stream.
  const isConfirmed = received.isFramed || (isResumed && isAwaitingResumption)
  return progress.isEndCertain && !isConfirmed ? ForwardedAttemptEnd.Unconfirmed : ForwardedAttemptEnd.Complete
}
