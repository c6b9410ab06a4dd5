/**
 * The task of one live request at the gateway: chooses backend servers, repeats what may be repeated, and passes the
 * answer on as it arrives.
 * @module
 */
import { type BackendAnswer, BackendAnswerKind, type BackendServerClient, type ExchangeFailure } from '../connection/backendServerClient.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../process/failure.ts'
import type { BackendServerRecord } from '../process/fleet/backendServerRecords.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import { LogEvents } from '../process/logEvents.ts'
import { Counter, Latency } from '../process/metrics.ts'
import type { ProcessServices } from '../process/processServices.ts'
import { chooseTarget, type GatewayRoute, matchRoute, RouteKind } from '../version/gatewayTables.ts'
import { type CallerAnswer, type CallerRequest, GatewayRefusal } from './callerExchange.ts'
import { createEventSplitter, isEventStream, withoutLength } from './eventStream.ts'
import { chooseServer, type ServerCandidate } from './serverChoice.ts'
import { createSilenceLimit, type SilenceLimit } from './silenceLimit.ts'

/** Live requests that may wait at one backend server beyond its slots; a slot becomes free about every 90 ms on a full server. */
const queueAllowance = 2

/** Share of the objective after which a request that found no place is refused; a refusal within it is early. */
const refusalShare = 0.2

/** How long a refused caller is told to stay away, in milliseconds, plus as much again at random. */
const retryAfterMs = 700

/** Pause before a request without a place looks again, in milliseconds. */
const lookAgainMs = 20

/** Most tries that the backend servers did not run. */
const notRunLimit = 6

/** Longest wait for the first event of a stream that may go on elsewhere, in objectives. */
const firstEventObjectives = 3

/** Longest wait for the next event of a stream that may go on elsewhere, in the longest pauses that are on time. */
const pauseFactor = 4

/** Shortest of both waits, in milliseconds. */
const silenceMinMs = 800

/** Status of an answer whose request was run by a server that failed. */
const serverErrorStatus = 500

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

type WholeAnswer = Extract<BackendAnswer, { readonly kind: typeof BackendAnswerKind.Answer }>

/** How an attempt ended. */
const AttemptEnd = { Complete: 'complete', NotRun: 'not run', Unsent: 'unsent', Broken: 'broken', Left: 'left' } as const
type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

interface Progress {
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
 * Runs a live request to its end.
 * @param request - the request
 * @param answer - its answer
 * @param services - what the task needs
 * @returns a promise that resolves when the answer has ended
 */
export async function runForwardedRequest (request: CallerRequest, answer: CallerAnswer, services: ForwardingServices): Promise<void> {
  const { view, random } = services
  if (view.tables === undefined) return refuse(services, request, answer, GatewayRefusal.NotReady, undefined)
  const route = matchRoute(view.routes, request.host, request.path)
  if (route === undefined || route.kind === RouteKind.Batch) return refuse(services, request, answer, GatewayRefusal.NoRoute, undefined)
  const progress: Progress = {
    request,
    answer,
    route,
    service: chooseTarget(route, random.next()),
    deadlineAt: Math.min(request.deadlineAt, request.receivedAt + route.timeoutMs),
    isRepeatable: route.kind === RouteKind.Safe || (route.kind === RouteKind.Streaming && route.resumable),
    hasResumePoint: true,
    runs: 0,
    notRun: 0,
    isStarted: false,
    isTimeUp: false,
    lastEvent: request.resumeAfter,
    avoided: new Set(),
    firstByteAt: undefined,
    status: 0,
    isFramed: true,
    isEndCertain: true,
    server: undefined
  }
  while (await makeAttempt(progress, services)) services.metrics.count(Counter.Retries, route.kind)
}

// Returns whether another attempt is due.
async function makeAttempt (progress: Progress, services: ForwardingServices): Promise<boolean> {
  const { request, route } = progress
  const server = await findServer(progress, services)
  if (request.left.aborted) return leave(progress, services)
  if (server === undefined) return giveUp(progress, services, GatewayRefusal.Overloaded)
  progress.server = server
  services.metrics.count(Counter.Attempts, route.kind)
  services.view.countLive(server.id, 1)
  let end: AttemptEnd
  try {
    end = await runAttempt(progress, server, services)
  } finally {
    services.view.countLive(server.id, -1)
  }
  if (end === AttemptEnd.Complete || (end === AttemptEnd.Broken && !request.left.aborted)) services.view.noteRun(server.id, end === AttemptEnd.Complete && progress.status < serverErrorStatus)
  if (end === AttemptEnd.Complete) {
    // A server without framing may have crashed, so its end must not complete an answer that is framed.
    if (progress.isFramed && !progress.isEndCertain) return giveUp(progress, services, GatewayRefusal.Failed)
    return finish(progress, services)
  }
  if (request.left.aborted) return leave(progress, services)
  if (progress.isTimeUp || services.clock.now() >= progress.deadlineAt) return giveUp(progress, services, GatewayRefusal.TimedOut)
  if (end === AttemptEnd.NotRun || end === AttemptEnd.Unsent) {
    progress.notRun++
    progress.avoided.add(server.id)
    if (progress.notRun < notRunLimit) return true
    return giveUp(progress, services, GatewayRefusal.Overloaded)
  }
  progress.runs++
  progress.avoided.add(server.id)
  const mayGoOn = !progress.isStarted || progress.hasResumePoint
  if (progress.isRepeatable && mayGoOn && progress.runs < route.attempts) return true
  return giveUp(progress, services, GatewayRefusal.Failed)
}

async function findServer (progress: Progress, services: ForwardingServices): Promise<BackendServerRecord | undefined> {
  const { request, route, avoided } = progress
  const { clock, view, random } = services
  // A stream that has begun waits for a place as long as its caller does; a new request is refused early.
  const isBegun = progress.runs > 0 || progress.isStarted
  const limitAt = isBegun ? progress.deadlineAt : Math.min(progress.deadlineAt, request.receivedAt + route.objectiveMs * refusalShare)
  while (!request.left.aborted) {
    const candidates = listCandidates(progress.service, services)
    const server = chooseServer(candidates, avoided, () => random.next())
    if (server !== undefined) return server
    // Every server with a place has refused once; another round may find one that has become free.
    avoided.clear()
    if (clock.now() + lookAgainMs > limitAt) return undefined
    await view.changed.wait(lookAgainMs, request.left)
  }
  return undefined
}

function listCandidates (service: string, services: ForwardingServices): ServerCandidate[] {
  const { view } = services
  const candidates: ServerCandidate[] = []
  for (const server of view.readyServers(service)) {
    const others = view.otherLoad(server.id)
    const live = others.live + (view.live.get(server.id) ?? 0)
    // Batch items make room for live requests, so only live ones count against the place.
    if (live >= server.slots + queueAllowance) continue
    candidates.push({
      server,
      load: live + others.batch,
      isSuspect: view.isSuspect(server.id),
      failureShare: view.failureShare(server.id),
      isSameZone: server.availabilityZone === services.availabilityZone,
      isSameRegion: services.regionOf(server.availabilityZone) === services.region
    })
  }
  return candidates
}

async function runAttempt (progress: Progress, server: BackendServerRecord, services: ForwardingServices): Promise<AttemptEnd> {
  const { request, route } = progress
  const { clock, client, view } = services
  const abort = new AbortController()
  const giveUpAttempt = (): void => abort.abort()
  request.left.addEventListener('abort', giveUpAttempt, { once: true })
  const timeLeftMs = progress.deadlineAt - clock.now()
  // A timer may fire a moment before the clock shows its time.
  const limit = setTimeout(() => {
    progress.isTimeUp = true
    abort.abort()
  }, Math.max(0, timeLeftMs))
  const canMove = progress.isRepeatable && progress.runs + 1 < route.attempts
  const silence = createSilenceLimit(canMove ? Math.max(silenceMinMs, route.objectiveMs * firstEventObjectives) : Infinity, giveUpAttempt)
  try {
    const sent = await client.send({ address: server.address, id: server.id }, {
      id: request.id,
      host: request.host,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      resumeAfter: progress.lastEvent,
      timeLeftMs: Math.max(1, Math.floor(timeLeftMs))
    }, abort.signal)
    if (sent.isErr()) return noteFailure(progress, server, sent.error, services)
    view.trust(server.id)
    return await passOn(progress, sent.value, silence, services)
  } catch (error) {
    noteBroken(progress, server, toFailure(error, { step: Step.ReadAnswer, peer: server.address }), services)
    return AttemptEnd.Broken
  } finally {
    clearTimeout(limit)
    silence.stop()
    request.left.removeEventListener('abort', giveUpAttempt)
    abort.abort()
  }
}

function noteFailure (progress: Progress, server: BackendServerRecord, { sent, failure }: ExchangeFailure, services: ForwardingServices): AttemptEnd {
  if (progress.request.left.aborted) return AttemptEnd.Left
  noteBroken(progress, server, failure, services)
  if (!sent || failure.reason === FailureReason.Timeout || failure.reason === FailureReason.Refused) services.view.suspect(server.id, failure.reason)
  return sent ? AttemptEnd.Broken : AttemptEnd.Unsent
}

function noteBroken (progress: Progress, server: BackendServerRecord, failure: Failure, services: ForwardingServices): void {
  if (progress.request.left.aborted) return
  services.metrics.count(Counter.AttemptFailures, failure.reason)
  services.logger.write(LogEvents.attemptFailed, { requestId: progress.request.id, failure, value: progress.runs, inputs: { server: server.id, revision: server.revision } })
}

async function passOn (progress: Progress, value: BackendAnswer, silence: SilenceLimit, services: ForwardingServices): Promise<AttemptEnd> {
  const { answer, route } = progress
  if (value.kind === BackendAnswerKind.NotRun) return AttemptEnd.NotRun
  progress.status = value.status
  progress.isEndCertain = value.isFramed
  const isSuccess = value.status >= successStatus && value.status < redirectStatus
  if (!isSuccess) {
    if (progress.isStarted) return AttemptEnd.Broken
    const mayRepeat = progress.isRepeatable && value.status >= serverErrorStatus && progress.runs + 1 < route.attempts
    if (mayRepeat) return AttemptEnd.Broken
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

function finish (progress: Progress, services: ForwardingServices): boolean {
  progress.answer.end()
  services.metrics.count(Counter.Requests, 'answered')
  services.logger.write(LogEvents.requestAnswered, describe(progress, services))
  return false
}

function leave (progress: Progress, services: ForwardingServices): boolean {
  progress.answer.breakOff()
  services.metrics.count(Counter.Requests, 'caller left')
  services.logger.write(LogEvents.callerLeft, describe(progress, services))
  return false
}

function giveUp (progress: Progress, services: ForwardingServices, refusal: GatewayRefusal): boolean {
  const { answer } = progress
  if (progress.isStarted) {
    answer.breakOff()
    services.metrics.count(Counter.Requests, 'broken off')
    services.logger.write(LogEvents.requestBrokenOff, { ...describe(progress, services), reason: refusal })
    return false
  }
  // After a run nothing may say that the request has not run.
  const isUnrun = refusal === GatewayRefusal.Overloaded && progress.runs === 0
  const told = refusal === GatewayRefusal.Overloaded && !isUnrun ? GatewayRefusal.Failed : refusal
  refuse(services, progress.request, answer, told, progress)
  return false
}

function refuse (services: ForwardingServices, request: CallerRequest, answer: CallerAnswer, refusal: GatewayRefusal, progress: Progress | undefined): void {
  const comeBackMs = retryAfterMs + services.random.next() * retryAfterMs
  answer.refuse(refusal, comeBackMs)
  services.metrics.count(Counter.Refusals, refusal)
  const described = progress === undefined ? { requestId: request.id, inputs: { version: services.view.tables?.version ?? 0 } } : describe(progress, services)
  services.logger.write(LogEvents.requestRefused, { ...described, reason: refusal })
}

function describe (progress: Progress, { clock, view }: ForwardingServices): { requestId: string, inputs: Record<string, string | number | boolean> } {
  const { request, route, firstByteAt, server } = progress
  return {
    requestId: request.id,
    inputs: {
      route: route.name,
      version: view.tables?.version ?? 0,
      knowledgeAgeMs: Math.round(clock.now() - view.heardAt),
      server: server?.id ?? '',
      runs: progress.runs,
      notRun: progress.notRun,
      firstByteMs: firstByteAt === undefined ? -1 : Math.round(firstByteAt - request.receivedAt),
      totalMs: Math.round(clock.now() - request.receivedAt)
    }
  }
}
