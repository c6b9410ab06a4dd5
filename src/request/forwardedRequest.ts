/**
 * The task of one live request at the gateway: chooses backend servers, repeats what may be repeated, and ends the answer.
 * @module
 */
import { BodyProblem } from '../connection/opaqueRequest.ts'
import type { BackendServerRecord } from '../process/fleet/backendServerRegistry.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { Counter } from '../process/program/metrics.ts'
import { chooseTarget, matchRoute, RouteKind } from '../version/gatewayTables.ts'
import { type CallerAnswer, type CallerRequest, GatewayRefusal } from './callerExchange.ts'
import { AttemptEnd, type ForwardingServices, isBodyReplayable, type Progress, runAttempt, serverErrorStatus } from './forwardedAttempt.ts'
import { chooseServer, type ServerCandidate } from './serverChoice.ts'

/** Live requests that may wait at one backend server beyond its slots: with answers of about 0.7 s and 8 slots, each waits some 90 ms. */
const queueAllowance = 2

/** Share of the objective after which a request that found no place is refused; a refusal within it is early. */
const refusalShare = 0.2

/** How long a refused caller is told to stay away, in milliseconds, plus as much again at random. */
const retryAfterMs = 700

/** Pause before a request without a place looks again, in milliseconds. */
const lookAgainMs = 20

/** Most tries that the backend servers did not run. */
const notRunLimit = 6

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
  const server = await findServer(progress, services)
  if (progress.request.disconnected.aborted) return endAfterDisconnect(progress, services)
  if (server === undefined) return giveUp(progress, services, GatewayRefusal.Overloaded)
  progress.server = server
  const end = await runCountedAttempt(progress, server, services)
  noteRun(progress, server, end, services)
  return concludeAttempt(progress, server, end, services)
}

async function runCountedAttempt (progress: Progress, server: BackendServerRecord, services: ForwardingServices): Promise<AttemptEnd> {
  services.metrics.count(Counter.Attempts, progress.route.kind)
  services.view.countLive(server.id, 1)
  try {
    return await runAttempt(progress, server, services)
  } finally {
    services.view.countLive(server.id, -1)
  }
}

// An attempt that the caller ended, or that never ran, says nothing about the server.
function noteRun ({ request, status }: Progress, server: BackendServerRecord, end: AttemptEnd, { view }: ForwardingServices): void {
  if (end === AttemptEnd.Complete) return view.recordRun(server.id, status < serverErrorStatus)
  const isCallersFault = request.disconnected.aborted || request.remainder?.problem !== undefined
  if (end === AttemptEnd.Broken && !isCallersFault) view.recordRun(server.id, false)
}

// Returns whether another attempt is due; if not, the answer has ended.
function concludeAttempt (progress: Progress, server: BackendServerRecord, end: AttemptEnd, services: ForwardingServices): boolean {
  const { request, route } = progress
  if (end === AttemptEnd.Complete) {
    // A server without framing may have crashed, so its end must not complete an answer that is framed.
    if (progress.isFramed && !progress.isEndCertain) return giveUp(progress, services, GatewayRefusal.Failed)
    return finish(progress, services)
  }
  if (request.disconnected.aborted) return endAfterDisconnect(progress, services)
  if (progress.isTimeUp || services.clock.now() >= progress.deadlineAt) return giveUp(progress, services, GatewayRefusal.TimedOut)
  const problem = request.remainder?.problem
  if (problem !== undefined) return giveUp(progress, services, problem === BodyProblem.TooLarge ? GatewayRefusal.TooLarge : GatewayRefusal.Failed)
  progress.avoided.add(server.id)
  if (end === AttemptEnd.NotRun || end === AttemptEnd.Unsent) {
    progress.notRun++
    if (progress.notRun < notRunLimit && isBodyReplayable(progress)) return true
    return giveUp(progress, services, GatewayRefusal.Overloaded)
  }
  progress.runs++
  const mayGoOn = (!progress.isStarted || progress.hasResumePoint) && isBodyReplayable(progress)
  if (progress.isRepeatable && mayGoOn && progress.runs < route.attempts) return true
  return giveUp(progress, services, GatewayRefusal.Failed)
}

async function findServer (progress: Progress, services: ForwardingServices): Promise<BackendServerRecord | undefined> {
  const { request, route, avoided } = progress
  const { clock, view, random } = services
  // A stream that has begun waits for a place as long as its caller does; a new request is refused early.
  const isBegun = progress.runs > 0 || progress.isStarted
  const limitAt = isBegun ? progress.deadlineAt : Math.min(progress.deadlineAt, request.receivedAt + route.objectiveMs * refusalShare)
  while (!request.disconnected.aborted) {
    const candidates = listCandidates(progress.service, services)
    const server = chooseServer(candidates, avoided, () => random.next())
    if (server !== undefined) return server
    // Every server with a place has refused once; another round may find one that has become free.
    avoided.clear()
    if (clock.now() + lookAgainMs > limitAt) return undefined
    await view.changed.wait(lookAgainMs, request.disconnected)
  }
  return undefined
}

function listCandidates (service: string, services: ForwardingServices): ServerCandidate[] {
  const { view } = services
  const candidates: ServerCandidate[] = []
  for (const server of view.listReadyServers(service)) {
    const others = view.getRemoteLoad(server.id)
    const live = others.live + (view.live.get(server.id) ?? 0)
    // Batch items make room for live requests, so only live ones count against the place.
    if (live >= server.slots + queueAllowance) continue
    candidates.push({
      server,
      load: live + others.batch,
      isSuspect: view.isSuspect(server.id),
      failureShare: view.getFailureRate(server.id),
      isSameZone: server.availabilityZone === services.availabilityZone,
      isSameRegion: services.regionOf(server.availabilityZone) === services.region
    })
  }
  return candidates
}

function finish (progress: Progress, services: ForwardingServices): boolean {
  progress.answer.end()
  services.metrics.count(Counter.Requests, 'answered')
  services.logger.write(LogEvents.requestAnswered, describe(progress, services))
  return false
}

function endAfterDisconnect (progress: Progress, services: ForwardingServices): boolean {
  progress.answer.abort()
  services.metrics.count(Counter.Requests, 'caller disconnected')
  services.logger.write(LogEvents.callerDisconnected, describe(progress, services))
  return false
}

function giveUp (progress: Progress, services: ForwardingServices, refusal: GatewayRefusal): boolean {
  const { answer } = progress
  if (progress.isStarted) {
    answer.abort()
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
      knowledgeAgeMs: Math.round(clock.now() - view.lastContactAt),
      server: server?.id ?? '',
      runs: progress.runs,
      notRun: progress.notRun,
      firstByteMs: firstByteAt === undefined ? -1 : Math.round(firstByteAt - request.receivedAt),
      totalMs: Math.round(clock.now() - request.receivedAt)
    }
  }
}
