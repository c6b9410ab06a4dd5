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
import type { CallerAnswer, CallerRequest } from './callerExchange.ts'
import { createEventSplitter, isEventStream, withoutLength } from './eventStream.ts'
import { createSilenceLimit, type SilenceLimit } from './silenceLimit.ts'

/** Longest wait for the first event of a stream that may go on elsewhere, in objectives. */
const firstEventObjectives = 3

/** Longest wait for the next event of a stream that may go on elsewhere, in the longest pauses that are on time. */
const pauseFactor = 4

/** Shortest of both waits, in milliseconds. */
const silenceMinMs = 800

/** Status of an answer whose request was run by a server that failed. */
export const serverErrorStatus = 500

const successStatus = 200
const redirectStatus = 300

/** What the task needs. */
export interface ForwardingServices extends Omit<ProcessServices, 'lifecycle'> {
  readonly view: FleetView
  readonly client: BackendServerClient
  readonly availabilityZone: string
  readonly regionOf: (availabilityZone: string) => string | undefined
  readonly region: string
}

type WholeAnswer = Extract<BackendResponse, { readonly kind: typeof BackendResponseKind.Response }>

/** How an attempt ended. */
export const AttemptEnd = { Complete: 'complete', NotRun: 'not run', Unsent: 'unsent', Broken: 'broken', Disconnected: 'disconnected' } as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** A request over its attempts. */
export interface Progress {
  readonly request: CallerRequest
  readonly answer: CallerAnswer
  readonly route: GatewayRoute
  readonly service: string
  /** Monotonic time at which the request is given up, in milliseconds. */
  readonly deadlineAt: number
  /** Whether another run is allowed after one that may have begun. */
  readonly isRepeatable: boolean
  /** Whether all that was passed on are events with ids, after which another server can go on. */
  hasResumePoint: boolean
  /** Attempts that may have run. */
  runs: number
  notRun: number
  isStarted: boolean
  /** Whether the time of the request ran out during an attempt. */
  isTimeUp: boolean
  /** Last event passed on. */
  lastEvent: number | undefined
  /** Servers that refused this request. */
  readonly avoided: Set<string>
  firstByteAt: number | undefined
  /** Status of the latest answer of a server; 0 before the first. */
  status: number
  /** Whether the end of the answer to the caller is told apart from the end of its connection. */
  isFramed: boolean
  /** Whether the latest answer of a server told its own end. */
  isEndCertain: boolean
  server: BackendServerRecord | undefined
}

/**
 * Sends a request to a backend server and passes the answer on as it arrives.
 * @param progress - the request
 * @param server - the backend server
 * @param services - what the attempt needs
 * @returns how the attempt ended
 */
export async function runAttempt (progress: Progress, server: BackendServerRecord, services: ForwardingServices): Promise<AttemptEnd> {
  const { request, route } = progress
  const { clock, client, view } = services
  const abort = new AbortController()
  const giveUpAttempt = (): void => abort.abort()
  request.disconnected.addEventListener('abort', giveUpAttempt, { once: true })
  const timeLeftMs = progress.deadlineAt - clock.now()
  // A timer may fire a moment before the clock shows its time.
  const limit = setTimeout(() => {
    progress.isTimeUp = true
    abort.abort()
  }, Math.max(0, timeLeftMs))
  const silence = createSilenceLimit(mayRunAgain(progress) ? Math.max(silenceMinMs, route.objectiveMs * firstEventObjectives) : Infinity, giveUpAttempt)
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
    if (sent.isErr()) return noteFailure(progress, server, sent.error, services)
    view.clearSuspect(server.id)
    return await passOn(progress, sent.value, silence, services)
  } catch (error) {
    noteBroken(progress, server, toFailure(error, { step: Step.ReadAnswer, peer: server.address }), services)
    return AttemptEnd.Broken
  } finally {
    clearTimeout(limit)
    silence.stop()
    request.disconnected.removeEventListener('abort', giveUpAttempt)
    abort.abort()
  }
}

/**
 * Tells whether the request can be sent again as far as its body is concerned.
 * @param progress - the request
 * @returns false when a part of the body that is not buffered was sent to a server
 */
export function isBodyReplayable ({ request }: Progress): boolean {
  return request.remainder?.isConsumed !== true
}

// Whether another server may run the request should the present one fail.
function mayRunAgain (progress: Progress): boolean {
  return progress.isRepeatable && progress.runs + 1 < progress.route.attempts && isBodyReplayable(progress)
}

function noteFailure (progress: Progress, server: BackendServerRecord, { sent, failure }: ExchangeFailure, services: ForwardingServices): AttemptEnd {
  if (progress.request.disconnected.aborted) return AttemptEnd.Disconnected
  noteBroken(progress, server, failure, services)
  if (!sent || failure.reason === FailureReason.Timeout || failure.reason === FailureReason.Refused) services.view.markSuspect(server.id, failure.reason)
  return sent ? AttemptEnd.Broken : AttemptEnd.Unsent
}

function noteBroken (progress: Progress, server: BackendServerRecord, failure: Failure, services: ForwardingServices): void {
  if (progress.request.disconnected.aborted) return
  services.metrics.count(Counter.AttemptFailures, failure.reason)
  services.logger.write(LogEvents.attemptFailed, { requestId: progress.request.id, failure, value: progress.runs, inputs: { server: server.id, revision: server.revision } })
}

async function passOn (progress: Progress, value: BackendResponse, silence: SilenceLimit, services: ForwardingServices): Promise<AttemptEnd> {
  const { answer } = progress
  if (value.kind === BackendResponseKind.NotRun) return AttemptEnd.NotRun
  progress.status = value.status
  progress.isEndCertain = value.isFramed
  const isSuccess = value.status >= successStatus && value.status < redirectStatus
  if (!isSuccess) {
    if (progress.isStarted) return AttemptEnd.Broken
    if (value.status >= serverErrorStatus && mayRunAgain(progress)) return AttemptEnd.Broken
  }
  if (isSuccess && isEventStream(value.headers)) return await passEventsOn(progress, value, silence, services)
  // Another server would begin a body without events from its start.
  if (progress.isStarted) return AttemptEnd.Broken
  progress.hasResumePoint = false
  progress.firstByteAt ??= services.clock.now()
  silence.stop()
  let isFirst = true
  for await (const piece of value.body) {
    if (isFirst) startAnswer(progress, value, value.headers)
    isFirst = false
    await answer.write(piece)
  }
  if (isFirst) startAnswer(progress, value, value.headers)
  return AttemptEnd.Complete
}

function startAnswer (progress: Progress, value: WholeAnswer, headers: readonly string[]): void {
  if (progress.isStarted) return
  progress.isStarted = true
  progress.isFramed = value.isFramed
  progress.answer.start(value.status, headers, value.isFramed)
}

async function passEventsOn (progress: Progress, value: WholeAnswer, silence: SilenceLimit, services: ForwardingServices): Promise<AttemptEnd> {
  const { answer, route } = progress
  const splitter = createEventSplitter()
  for await (const piece of value.body) {
    silence.restart(Math.max(silenceMinMs, route.pauseMs * pauseFactor))
    const pieces: Buffer[] = []
    for (const event of splitter.push(piece)) {
      if (event.id === undefined) progress.hasResumePoint = false
      else {
        if (progress.lastEvent !== undefined && event.id !== progress.lastEvent + 1) return AttemptEnd.Broken
        progress.lastEvent = event.id
      }
      pieces.push(event.bytes)
    }
    if (pieces.length === 0) continue
    if (progress.firstByteAt === undefined) {
      progress.firstByteAt = services.clock.now()
      services.metrics.record(Latency.FirstToken, progress.firstByteAt - progress.request.receivedAt)
    }
    startAnswer(progress, value, withoutLength(value.headers))
    await answer.write(pieces.length === 1 ? pieces[0] as Buffer : Buffer.concat(pieces))
  }
  if (splitter.pendingBytes > 0) {
    throw createFailure(FailureReason.Incomplete, { step: Step.ReadAnswer, peer: progress.server?.address }, 'the stream ended in the middle of an event')
  }
  startAnswer(progress, value, withoutLength(value.headers))
  return AttemptEnd.Complete
}
