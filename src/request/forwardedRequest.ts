/**
 * The task of one live request at the gateway: chooses backend servers, retries where allowed, and ends the response.
 * @module
 */
import { BodyProblem } from '../connection/opaqueRequest.ts'
import type { BackendServerRecord } from '../process/fleet/backendServerRegistry.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { Counter } from '../process/program/metrics.ts'
import type { ClientAccount } from '../version/accounts.ts'
import { chooseTarget, type GatewayRoute, matchRoute, RouteKind } from '../version/gatewayTables.ts'
import { type CallerResponse, type CallerRequest, drainingRetryAfterMs, GatewayRefusal } from './callerExchange.ts'
import { identifyCaller } from './callerIdentity.ts'
import { ForwardedAttemptEnd, type ForwardingServices, isBodyReplayable, type ForwardingProgress, runForwardedAttempt, minServerErrorStatus, verifyOrigin } from './forwardedAttempt.ts'
import { reportCrash } from './crashReport.ts'
import { canContinue, decideResumption, isResumption, mayContinue } from './streamContinuation.ts'
import { acquirePermit } from './requestPermit.ts'
import { admitByQuota } from './quotaAdmission.ts'
import { createRequestTraits, listTraits } from './requestTraits.ts'
import { decidePlaces, type LivePlaces, ordinaryPlaces } from './placement/competition.ts'
import type { CostedRequest, RequestCost } from './placement/requestCost.ts'
import { chooseReturnMs, returnBaseMs } from './placement/returnTime.ts'
import { chooseServer, chooseServerByPrefix } from './placement/serverChoice.ts'
import { type CandidateSearch, estimateServiceCost, isRetryableRoute, listCandidates } from './serverCandidates.ts'

/** Share of the objective of the route within which a request that finds no free slot is refused, so that the refusal comes early. */
const earlyRefusalShare = 0.2

/** The same for a caller that this host refuses without its lease for keys, in milliseconds; another gateway may have one. */
const leaseRetryAfterBaseMs = 100

/** Interval at which a request without a free slot checks the servers again, in milliseconds. */
const recheckIntervalMs = 20

/** Refusals that promise that the request has not run; they must not be reported after a run. */
const notRunRefusals: ReadonlySet<GatewayRefusal> = new Set([GatewayRefusal.Overloaded, GatewayRefusal.VersionUnavailable, GatewayRefusal.Quarantined, GatewayRefusal.Draining])

/** Refusals without a suggested delay: waiting for a while does not bring back the record of a stream, or a software version. */
const lastingRefusals: ReadonlySet<GatewayRefusal> = new Set([GatewayRefusal.UnknownStream, GatewayRefusal.VersionUnavailable])

/** Maximum number of attempts that the backend servers did not run. */
const maxNotRunAttempts = 6

/**
 * Runs a live request to its end.
 * @param request - the request
 * @param response - the response to the caller
 * @param services - dependencies and settings of the request
 * @returns a promise that resolves when the response has ended
 */
export async function runForwardedRequest (request: CallerRequest, response: CallerResponse, services: ForwardingServices): Promise<void> {
  const { view, random } = services
  if (!view.canServe) return sendRefusal(services, request, response, GatewayRefusal.NotReady, undefined)
  const route = matchRoute(view.routes, request.host, request.path)
  if (route === undefined || route.kind === RouteKind.Batch) return sendRefusal(services, request, response, refuseUnknownRoute(view), undefined)
  const identified = identifyCaller(request.credential, route.isPublic === true, view)
  if (identified.isErr()) return sendRefusal(services, request, response, identified.error, undefined)
  const account = identified.value
  const quota = await admitByQuota(account, request.disconnectSignal, services)
  if (!quota.isAdmitted) {
    services.metrics.count(Counter.QuotaRefusals, account?.name ?? '')
    return sendRefusal(services, request, response, GatewayRefusal.QuotaExceeded, undefined, quota.retryMs)
  }
  const progress: ForwardingProgress = {
    request,
    account,
    answer: response,
    route,
    service: chooseTarget(route, random.next()),
    origin: undefined,
    writers: [],
    places: choosePlaces(account, route, services),
    isResumption: isResumption(request, route),
    traits: createRequestTraits(request),
    events: 0,
    deadlineAt: Math.min(request.deadlineAt, request.receivedAt + route.timeoutMs),
    isRetryable: isRetryableRoute(route),
    hasResumePoint: true,
    runs: 0,
    mayHaveRun: false,
    notRun: 0,
    isResponseStarted: false,
    isTimedOut: false,
    lastEvent: request.resumeAfter,
    avoided: new Set(),
    hasOutput: false,
    failureReason: undefined,
    crashes: 0,
    isBlocked: false,
    hasTrial: false,
    firstByteAt: undefined,
    status: 0,
    isEndCertain: true,
    server: undefined
  }
  await runAttempts(progress, services)
  if (!progress.mayHaveRun) view.accountQuotas.release(account, quota)
}

async function runAttempts (progress: ForwardingProgress, services: ForwardingServices): Promise<void> {
  if (progress.isResumption && !await prepareResumption(progress, services)) return
  while (await makeAttempt(progress, services)) services.metrics.count(Counter.Retries, progress.route.kind)
}

/**
 * Chooses the refusal of a request for which there is no route.
 * @param view - the host's view of the fleet
 * @returns `NotReady` while newer tables are known, which may have the route; otherwise `NoRoute`
 */
export function refuseUnknownRoute (view: FleetView): GatewayRefusal {
  return view.tablesOutdatedMs === undefined ? GatewayRefusal.NoRoute : GatewayRefusal.NotReady
}

/**
 * Chooses the places that a new request may take.
 * @param account - its client account; undefined if it needs none
 * @param route - its route
 * @param services - the view of the fleet, and the random numbers
 * @returns the places
 */
export function choosePlaces (account: ClientAccount | undefined, route: GatewayRoute, { view, random }: Pick<ForwardingServices, 'view' | 'random'>): LivePlaces {
  if (account === undefined) return ordinaryPlaces
  const priority = account.priority ?? route.priority
  const higherPriorities = view.livePriorities.filter(other => other < priority).length
  return decidePlaces({ higherPriorities, position: random.next(), ...view.accountQuotas.getLevel(account) })
}

// Returns whether an attempt may be made; if not, the response has ended.
async function prepareResumption (progress: ForwardingProgress, services: ForwardingServices): Promise<boolean> {
  const { request, route } = progress
  const { origins, view, metrics, logger } = services
  const refusalBefore = findRefusal(progress, services)
  if (refusalBefore !== undefined) return giveUp(progress, services, refusalBefore)
  const { resumes } = request
  const search = resumes === undefined || resumes === '' ? undefined : await origins.find(resumes, { deadlineAt: progress.deadlineAt, signal: request.disconnectSignal })
  if (request.disconnectSignal.aborted) return abortAfterDisconnect(progress, services)
  const decision = decideResumption(search, route, view)
  if (decision.origin === undefined) {
    metrics.count(Counter.ResumptionRefusals, decision.reason)
    logger.write(LogEvents.resumptionRefused, { requestId: request.id, reason: decision.reason, inputs: { resumes: resumes ?? '', route: route.name, service: search?.origin?.service ?? '', softwareVersion: search?.origin?.softwareVersion ?? '' } })
    return giveUp(progress, services, decision.refusal)
  }
  progress.origin = decision.origin
  progress.service = decision.origin.service
  return true
}

// Returns whether another attempt is to be made.
async function makeAttempt (progress: ForwardingProgress, services: ForwardingServices): Promise<boolean> {
  const refusalBefore = findRefusal(progress, services)
  if (refusalBefore !== undefined) return giveUp(progress, services, refusalBefore)
  const server = await findServer(progress, services)
  if (progress.request.disconnectSignal.aborted) return abortAfterDisconnect(progress, services)
  const refusalAfter = findRefusal(progress, services)
  if (refusalAfter !== undefined) return giveUp(progress, services, refusalAfter)
  if (server === undefined) return giveUp(progress, services, mayContinue(progress.origin, progress.service, services.view) ? GatewayRefusal.Overloaded : GatewayRefusal.VersionUnavailable)
  if (!await acquireTrial(progress, services)) return giveUp(progress, services, GatewayRefusal.Quarantined)
  // It may have begun to leave, or a writer of the stream may be found to run another version, while the leader was asked for a permit or a trial.
  verifyOrigin(progress, services)
  if (!services.view.isReady(server) || !canContinue(progress.origin, server)) return await makeAttempt(progress, services)
  progress.server = server
  const end = await runCountedAttempt(progress, server, services)
  progress.mayHaveRun ||= end !== ForwardedAttemptEnd.NotRun && end !== ForwardedAttemptEnd.Unsent
  verifyOrigin(progress, services)
  recordRun(progress, server, end, services)
  await reportCrash(progress, server, end, services)
  return concludeAttempt(progress, server, end, services)
}

// Returns why no attempt may be made now, whichever server is free.
function findRefusal ({ isBlocked, traits, isResponseStarted, deadlineAt }: ForwardingProgress, { view, drain }: ForwardingServices): GatewayRefusal | undefined {
  if (isBlocked || view.quarantine.getBlockedMs(traits) !== undefined) return GatewayRefusal.Quarantined
  // A response that has started is continued: its end may still arrive in time, and refusing it would cut it for certain.
  if (!isResponseStarted && deadlineAt > drain.lastEndAt) return GatewayRefusal.Draining
  return undefined
}

// Returns whether the request may be sent: if one of its traits is on trial, only one request at a time may.
async function acquireTrial (progress: ForwardingProgress, { view, control }: ForwardingServices): Promise<boolean> {
  if (progress.hasTrial || !view.quarantine.isOnTrial(progress.traits)) return true
  const granted = await control.acquireTrial({ traits: listTraits(progress.traits) })
  progress.hasTrial = granted.isOk() && granted.value
  return progress.hasTrial
}

async function runCountedAttempt (progress: ForwardingProgress, server: BackendServerRecord, services: ForwardingServices): Promise<ForwardedAttemptEnd> {
  services.metrics.count(Counter.Attempts, progress.route.kind)
  if (services.view.requestLimits.find(server.id) !== undefined) services.metrics.count(Counter.LimitedRequests, 'live')
  services.view.adjustLiveCount(server.id, 1)
  const removeWork = services.view.serverWork.add(server.id, estimateCost(progress, services.view))
  const startedAt = services.clock.now()
  try {
    const end = await runForwardedAttempt(progress, server, services)
    if (end === ForwardedAttemptEnd.Complete) services.view.remoteLoads.recordDuration(services.clock.now() - startedAt)
    return end
  } finally {
    removeWork()
    services.view.adjustLiveCount(server.id, -1)
  }
}

function estimateCost (progress: ForwardingProgress, view: FleetView): RequestCost {
  return estimateServiceCost(describeCost(progress), view)
}

function describeCost ({ request, route, service }: ForwardingProgress): CostedRequest {
  return { route: route.name, service, declared: request.declaredWork, sharedTokens: request.sharedPromptTokens }
}

// An attempt that was aborted by the caller or the quarantine, or never ran, does not count for or against the server.
function recordRun ({ request, status, traits }: ForwardingProgress, server: BackendServerRecord, end: ForwardedAttemptEnd, { view }: ForwardingServices): void {
  if (end === ForwardedAttemptEnd.Complete) return view.recordRun(server.id, status < minServerErrorStatus)
  const isServerFault = !request.disconnectSignal.aborted && request.remainder?.problem === undefined && view.quarantine.getBlockedMs(traits) === undefined
  if (end === ForwardedAttemptEnd.Broken && isServerFault) view.recordRun(server.id, false)
}

// Returns whether another attempt is to be made; if not, the response has ended.
function concludeAttempt (progress: ForwardingProgress, server: BackendServerRecord, end: ForwardedAttemptEnd, services: ForwardingServices): boolean {
  const { request, route } = progress
  if (end === ForwardedAttemptEnd.Complete) {
    // The length of a resumed stream is that of its rest.
    if (progress.events > 0 && !progress.isResumption) services.view.costs.record(describeCost(progress), progress.events)
    return completeResponse(progress, services)
  }
  if (request.disconnectSignal.aborted) return abortAfterDisconnect(progress, services)
  if (progress.isTimedOut || services.clock.now() >= progress.deadlineAt) return giveUp(progress, services, GatewayRefusal.TimedOut)
  const problem = request.remainder?.problem
  if (problem !== undefined) return giveUp(progress, services, problem === BodyProblem.TooLarge ? GatewayRefusal.TooLarge : GatewayRefusal.Failed)
  progress.avoided.add(server.id)
  if (end === ForwardedAttemptEnd.NotRun || end === ForwardedAttemptEnd.Unsent) {
    progress.notRun++
    if (progress.notRun < maxNotRunAttempts && isBodyReplayable(progress)) return true
    return giveUp(progress, services, GatewayRefusal.Overloaded)
  }
  progress.runs++
  const canContinue = (!progress.isResponseStarted || progress.hasResumePoint) && isBodyReplayable(progress)
  if (progress.isRetryable && canContinue && progress.runs < route.attempts) return true
  return giveUp(progress, services, GatewayRefusal.Failed)
}

// A request that has already run or begun to respond waits for a free slot until its deadline; a new one is refused early, so that its caller
// can try another gateway. A resumption waits for longer, since the servers of its version are the same everywhere.
function computeWaitDeadline ({ request, route, deadlineAt, runs, isResponseStarted, isResumption, places }: ForwardingProgress): number {
  if (runs > 0 || isResponseStarted) return deadlineAt
  return Math.min(deadlineAt, request.receivedAt + (isResumption ? route.objectiveMs : getWaitMs(route, places)))
}

/**
 * Returns how long a new request waits for a free slot before it is refused.
 * @param route - its route
 * @param places - the places that it may take
 * @returns the time, in milliseconds
 */
export function getWaitMs ({ objectiveMs }: GatewayRoute, { mayWait }: LivePlaces): number {
  return mayWait ? objectiveMs * earlyRefusalShare : 0
}

// A request that has run, or resumes, competes with nobody for its places.
function describeSearch ({ service, origin, isRetryable, runs, isResponseStarted, isResumption, places }: ForwardingProgress, { tokens }: RequestCost): CandidateSearch {
  return { service, origin, isRetryable, tokens, places: runs > 0 || isResponseStarted || isResumption ? ordinaryPlaces : places }
}

async function findServer (progress: ForwardingProgress, services: ForwardingServices): Promise<BackendServerRecord | undefined> {
  const { request, avoided } = progress
  const { clock, view, random } = services
  const waitDeadlineAt = computeWaitDeadline(progress)
  if (view.hasWithheldServer(progress.service)) services.metrics.count(Counter.WithheldRequests, 'live')
  while (!request.disconnectSignal.aborted) {
    verifyOrigin(progress, services)
    if (!mayContinue(progress.origin, progress.service, view)) return undefined
    const remoteLoad = view.remoteLoads.estimate(progress.service)
    const cost = estimateCost(progress, view)
    const candidates = listCandidates(describeSearch(progress, cost), remoteLoad, services)
    const prefix = { parts: request.sharedPromptParts, tokens: request.sharedPromptTokens }
    const server = chooseServerByPrefix(candidates, avoided, prefix) ?? chooseServer(candidates, avoided, () => random.next(), remoteLoad.unseenRequests, cost.work)
    if (server !== undefined) {
      if (await acquirePermit(server.id, services)) return server
      // The limit of the server is used up; it is no candidate for a while.
      continue
    }
    // Every server with a free slot has refused the request once; another round may find one that has capacity again.
    avoided.clear()
    if (clock.now() + recheckIntervalMs > waitDeadlineAt) {
      if (progress.places.isBeyondShare) services.metrics.count(Counter.ShareRefusals, progress.account?.name ?? '')
      return undefined
    }
    services.metrics.count(Counter.Waits, progress.account?.name ?? '')
    await view.changed.wait(recheckIntervalMs, request.disconnectSignal)
  }
  return undefined
}

// This function, `abortAfterDisconnect` and `giveUp` end the response and return false: no further attempt is to be made.
function completeResponse (progress: ForwardingProgress, services: ForwardingServices): boolean {
  progress.answer.end()
  services.metrics.count(Counter.Requests, 'answered')
  services.logger.write(LogEvents.requestCompleted, describeProgress(progress, services))
  return false
}

function abortAfterDisconnect (progress: ForwardingProgress, services: ForwardingServices): boolean {
  progress.answer.abort()
  services.metrics.count(Counter.Requests, 'caller disconnected')
  services.logger.write(LogEvents.callerDisconnected, describeProgress(progress, services))
  return false
}

function giveUp (progress: ForwardingProgress, services: ForwardingServices, refusal: GatewayRefusal): boolean {
  const { answer: response } = progress
  if (progress.isResponseStarted) {
    response.abort()
    services.metrics.count(Counter.Requests, 'broken off')
    services.logger.write(LogEvents.responseAborted, { ...describeProgress(progress, services), reason: refusal })
    return false
  }
  const isRun = progress.runs > 0 && notRunRefusals.has(refusal)
  sendRefusal(services, progress.request, response, isRun ? GatewayRefusal.Failed : refusal, progress)
  return false
}

function sendRefusal (services: ForwardingServices, request: CallerRequest, response: CallerResponse, refusal: GatewayRefusal, progress: ForwardingProgress | undefined, spreadMs = 0): void {
  const baseMs = refusal === GatewayRefusal.NotReady && !services.view.canServeAccounts ? leaseRetryAfterBaseMs : returnBaseMs
  const blockedMs = progress === undefined ? undefined : services.view.quarantine.getBlockedMs(progress.traits)
  const retryAfterMs = refusal === GatewayRefusal.Draining ? drainingRetryAfterMs : chooseReturnMs(baseMs, services.random.next(), { minimumMs: blockedMs, spreadMs, remainingMs: request.deadlineAt - services.clock.now() })
  if (lastingRefusals.has(refusal)) response.refuse(refusal)
  else response.refuse(refusal, retryAfterMs)
  services.metrics.count(Counter.Refusals, refusal)
  const retryInputs = { version: services.view.tables?.version ?? 0, retryAfterMs: Math.round(retryAfterMs) }
  const described = progress === undefined ? { requestId: request.id, inputs: retryInputs } : describeProgress(progress, services)
  services.logger.write(LogEvents.requestRefused, { ...described, reason: refusal })
}

function describeProgress (progress: ForwardingProgress, { clock, view }: ForwardingServices): { requestId: string, inputs: Record<string, string | number | boolean> } {
  const { request, route, firstByteAt, server } = progress
  return {
    requestId: request.id,
    inputs: {
      route: route.name,
      ...(progress.account === undefined ? {} : { account: progress.account.name, isBeyondShare: progress.places.isBeyondShare }),
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
