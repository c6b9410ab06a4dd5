/**
 * Explains where a gateway would send a request or a job now, and why, without sending it. The decisions are those of live requests, on the
 * same state. Nothing is counted: no quota, permit, trial, metric or log line.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import type { ControlClient } from '../connection/controlClient.ts'
import { ServerPhase } from '../process/fleet/backendServerRegistry.ts'
import type { RemoteLoadEstimate } from '../process/fleet/remoteLoads.ts'
import { QueryKind } from '../process/state/queries.ts'
import type { ClientAccount } from '../version/accounts.ts'
import { chooseTarget, type GatewayRoute, matchRoute, RouteKind } from '../version/gatewayTables.ts'
import { GatewayRefusal } from './callerExchange.ts'
import { judgeAccount } from './callerIdentity.ts'
import type { ForwardingServices } from './forwardedAttempt.ts'
import { choosePlaces, getWaitMs, refuseUnknownRoute } from './forwardedRequest.ts'
import { commandTimeoutMs, readTimeoutMs } from './gatewayJobs.ts'
import { chooseServer, computeScoreParts, type ScoreParts, type ServerCandidate, sumScore } from './placement/serverChoice.ts'
import { type CandidateServices, type ExcludedServer, ExclusionReason, estimateServiceCost, isRetryableRoute, listCandidates } from './serverCandidates.ts'

/** Choices that are drawn to find the share of each server, at most. */
const maxDraws = 200

/** Scores that are computed for these draws, at most: with thousands of servers, 200 draws would occupy the event loop for a second. */
const maxDrawnScores = 20_000

/** Request or job that is not sent. */
export interface PlacementQuestion {
  /** Host name, without a port. */
  readonly host: string
  readonly path: string
  /** Name of the client account; undefined for a caller without a key. */
  readonly account: string | undefined
}

/** Dependencies of an explanation; none of their methods that change state is called. */
export interface ExplanationServices extends CandidateServices, Pick<ForwardingServices, 'drain' | 'clock' | 'random'> {
  readonly control: Pick<ControlClient, 'read'>
}

/** The route and the account by which the question was decided. */
export interface RouteExplanation {
  readonly name: string
  readonly kind: RouteKind
  readonly services: ReadonlyArray<{ readonly service: string, readonly weight: number, readonly readyServers: number }>
}

/** What is known of the limit of an account. */
export interface QuotaExplanation {
  /** Requests in a window. */
  readonly limit: number
  /** Requests in the latest window at all hosts, as of the last sums; undefined if they are not known. */
  readonly used: number | undefined
  readonly ageMs: number | undefined
  /** Share of the requests of the account that the gateway admits at present, from 0 to 1. */
  readonly admittedShare: number
}

/** The account of a request. */
export interface AccountExplanation {
  readonly name: string
  readonly priority: number
  /** Undefined if the account has no limit, and for jobs. */
  readonly quota: QuotaExplanation | undefined
}

/** Server that could take the request. */
export interface CandidateExplanation {
  readonly server: string
  readonly address: string
  readonly availabilityZone: string
  /** Share of the requests that would go to it now, from 0 to 1. */
  readonly share: number
  /** Sum of the parts; the lowest is the best. */
  readonly score: number
  readonly parts: ScoreParts
  /** Tokens that its requests hold in its memory. */
  readonly heldTokens: number
}

/** Server of the service that could not take the request. */
export interface ExclusionExplanation {
  readonly server: string
  readonly address: string
  readonly reason: ExclusionReason
}

/** The choice among the servers for a live request. */
export interface ServerExplanation {
  readonly service: string
  /** Likely work, in usual requests. */
  readonly work: number
  /** Live requests that may queue at a server before this one. */
  readonly maxQueued: number
  /** Whether the request exceeds the share of its account. */
  readonly isBeyondShare: boolean
  /** Id of the server that these random numbers select; undefined if there is none. */
  readonly chosen: string | undefined
  /** Whether the leader would be asked for a permit, since the chosen server names a request limit. */
  readonly needsPermit: boolean
  /** Time for which the request would wait for a place if there is none, in milliseconds. */
  readonly waitMs: number
  /** Requests that other hosts have placed since the sums; above 0 the choice is random. */
  readonly unseenRequests: number
  /** In descending order of their shares. */
  readonly candidates: readonly CandidateExplanation[]
  readonly excluded: readonly ExclusionExplanation[]
}

/** What the admission of a job depends on. */
export interface JobExplanation {
  /** Tokens of the waiting items of the route, of the account if the job has one; undefined if no control host answered. */
  readonly waitingTokens: number | undefined
  /** Limit of these tokens; 0 for none. */
  readonly tokenLimit: number
  /** Tokens of the largest job that would be accepted; undefined if there is no limit, or the waiting tokens are not known. */
  readonly acceptedTokens: number | undefined
}

/** Age of what the gateway decides by. */
export interface KnowledgeExplanation {
  readonly tablesVersion: number
  /** The newest version that the gateway knows of. */
  readonly tablesVersionInForce: number
  /** Time since the last contact to the leader, in milliseconds; undefined before the first. */
  readonly lastContactMs: number | undefined
  /** Time since the sums of the load of all hosts, in milliseconds; undefined before the first. */
  readonly loadSumsMs: number | undefined
}

/** Where a request or a job would go now, and why. */
export interface PlacementExplanation {
  /** Why it would be refused; undefined if it would go somewhere. */
  readonly refusal: GatewayRefusal | undefined
  readonly knowledge: KnowledgeExplanation
  readonly route: RouteExplanation | undefined
  readonly account: AccountExplanation | undefined
  /** Undefined for a job, and if the request is refused before a server is chosen. */
  readonly servers: ServerExplanation | undefined
  /** Undefined for a live request, and if the job is refused before its tokens count. */
  readonly job: JobExplanation | undefined
}

/** The gateway's tables have no account of that name. The name is not repeated: somebody may have typed a key in its place. */
export const unknownAccount = 'unknown account'
export type UnknownAccount = typeof unknownAccount

/**
 * Explains a question by the state of this gateway; the waiting tokens of a job are read from a control host.
 * @param question - the request or job
 * @param services - the state of the gateway
 * @returns the explanation, or an error if the tables lack the account
 */
export async function answerPlacement (question: PlacementQuestion, services: ExplanationServices): Promise<Result<PlacementExplanation, UnknownAccount>> {
  const { view } = services
  const route = matchRoute(view.routes, question.host, question.path)
  const explained = explainPlacement(question, services)
  if (route?.kind !== RouteKind.Batch || explained.isErr() || explained.value.job === undefined) return explained
  const { host } = question
  const account = explained.value.account?.name
  const read = await services.control.read({ kind: QueryKind.WaitingTokens, host, pathPrefix: route.pathPrefix, ...(account === undefined ? {} : { account }) }, readTimeoutMs)
  const tokens = read.isOk() && read.value.kind === QueryKind.WaitingTokens ? read.value.tokens : undefined
  return explainPlacement(question, services, tokens)
}

/**
 * Explains a question by the state of this gateway alone.
 * @param question - the request or job
 * @param services - the state of the gateway
 * @param waitingTokens - tokens of the waiting items of a job route; undefined if they are not known
 * @returns the explanation, or an error if the tables lack the account
 */
export function explainPlacement (question: PlacementQuestion, services: Omit<ExplanationServices, 'control'>, waitingTokens?: number): Result<PlacementExplanation, UnknownAccount> {
  const { view, drain, clock, random } = services
  const knowledge: KnowledgeExplanation = {
    tablesVersion: view.tables?.version ?? 0,
    tablesVersionInForce: view.tablesVersionInForce,
    lastContactMs: finiteOrUndefined(clock.now() - view.lastContactAt),
    loadSumsMs: finiteOrUndefined(view.remoteLoads.ageMs)
  }
  const nothing = { refusal: undefined, knowledge, route: undefined, account: undefined, servers: undefined, job: undefined }
  if (!view.canServe) return ok({ ...nothing, refusal: GatewayRefusal.NotReady })
  const named = question.account === undefined ? undefined : view.tables?.accounts?.find(({ name }) => name === question.account)
  if (question.account !== undefined && named === undefined) return err(unknownAccount)
  const route = matchRoute(view.routes, question.host, question.path)
  if (route === undefined) return ok({ ...nothing, refusal: refuseUnknownRoute(view) })
  const routed = { ...nothing, route: describeRoute(route, services) }
  // An account whose keys were all withdrawn is not found by any key.
  const identified = judgeAccount(named !== undefined, () => named === undefined || named.keys.length === 0 ? undefined : named, route.isPublic === true, view)
  if (identified.isErr()) return ok({ ...routed, refusal: identified.error })
  const account = identified.value
  if (route.kind === RouteKind.Batch) {
    const known = { ...routed, account: describeAccount(account, route, undefined) }
    if (drain.lastEndAt - clock.now() < commandTimeoutMs) return ok({ ...known, refusal: GatewayRefusal.Draining })
    const job = describeJob(route, waitingTokens)
    return ok({ ...known, job, refusal: job.acceptedTokens === 0 ? GatewayRefusal.QuotaExceeded : undefined })
  }
  const quota = account === undefined ? undefined : view.accountQuotas.preview(account)
  const known = { ...routed, account: describeAccount(account, route, quota) }
  if (quota?.isAdmitted === false) return ok({ ...known, refusal: GatewayRefusal.QuotaExceeded })
  // Random numbers are drawn in the order in which a live request draws them.
  const service = chooseTarget(route, random.next())
  const places = choosePlaces(account, route, services)
  if (clock.now() + route.timeoutMs > drain.lastEndAt) return ok({ ...known, refusal: GatewayRefusal.Draining })
  const cost = estimateServiceCost({ route: route.name, service, declared: undefined, sharedTokens: 0 }, view)
  const remoteLoad = view.remoteLoads.estimate(service)
  const excluded = listUnready(service, services)
  const search = { service, origin: undefined, isRetryable: isRetryableRoute(route), places, tokens: cost.tokens }
  const candidates = listCandidates(search, remoteLoad, services, excluded)
  const chosen = chooseServer(candidates, new Set(), () => random.next(), remoteLoad.unseenRequests, cost.work)
  const shares = drawShares(candidates, remoteLoad, cost.work, services)
  const servers: ServerExplanation = {
    service,
    work: cost.work,
    maxQueued: places.maxQueued,
    isBeyondShare: places.isBeyondShare,
    chosen: chosen?.id,
    needsPermit: chosen !== undefined && view.requestLimits.find(chosen.id) !== undefined,
    waitMs: getWaitMs(route, places),
    unseenRequests: remoteLoad.unseenRequests,
    candidates: candidates.map(candidate => describeCandidate(candidate, cost.work, shares)).sort((left, right) => right.share - left.share || left.score - right.score),
    excluded: excluded.map(({ server: { id, address }, reason }) => ({ server: id, address, reason }))
  }
  return ok({ ...known, servers, refusal: chosen === undefined ? GatewayRefusal.Overloaded : undefined })
}

function finiteOrUndefined (durationMs: number): number | undefined {
  return Number.isFinite(durationMs) ? durationMs : undefined
}

function describeRoute ({ name, kind, targets }: GatewayRoute, { view }: Pick<ExplanationServices, 'view'>): RouteExplanation {
  return { name, kind, services: targets.map(({ service, weight }) => ({ service, weight, readyServers: view.listReadyServers(service).length })) }
}

function describeAccount (account: ClientAccount | undefined, route: GatewayRoute, quota: QuotaExplanation | undefined): AccountExplanation | undefined {
  if (account === undefined) return undefined
  const { limit, used, ageMs, admittedShare } = quota ?? {}
  const described = limit === undefined || admittedShare === undefined ? undefined : { limit, used, ageMs, admittedShare }
  return { name: account.name, priority: account.priority ?? route.priority, quota: described }
}

function describeJob ({ waitingTokens: tokenLimit }: GatewayRoute, waitingTokens: number | undefined): JobExplanation {
  const acceptedTokens = tokenLimit > 0 && waitingTokens !== undefined ? Math.max(0, tokenLimit - waitingTokens) : undefined
  return { waitingTokens, tokenLimit, acceptedTokens }
}

// Servers that `listCandidates` does not see, since they accept no new requests.
function listUnready (service: string, { view }: Pick<ExplanationServices, 'view'>): ExcludedServer[] {
  const ready = new Set(view.listReadyServers(service))
  const excluded: ExcludedServer[] = []
  for (const server of view.listServers()) {
    if (server.service !== service || ready.has(server)) continue
    excluded.push({ server, reason: server.phase === ServerPhase.Gone ? ExclusionReason.NotReady : ExclusionReason.Leaving })
  }
  return excluded
}

// Draws the choice repeatedly: its shares depend on the random part of the scores and on the idle connections too.
function drawShares (candidates: readonly ServerCandidate[], { unseenRequests }: RemoteLoadEstimate, work: number, { random }: Pick<ExplanationServices, 'random'>): ReadonlyMap<string, number> {
  const shares = new Map<string, number>()
  if (candidates.length === 0) return shares
  const draws = Math.max(1, Math.min(maxDraws, Math.floor(maxDrawnScores / candidates.length)))
  let drawn = 0
  while (drawn < draws) {
    const id = chooseServer(candidates, new Set(), () => random.next(), unseenRequests, work)?.id ?? ''
    shares.set(id, (shares.get(id) ?? 0) + 1 / draws)
    drawn++
  }
  return shares
}

function describeCandidate (candidate: ServerCandidate, work: number, shares: ReadonlyMap<string, number>): CandidateExplanation {
  const { server: { id, address, availabilityZone }, heldTokens = 0 } = candidate
  const parts = computeScoreParts(candidate, work)
  return { server: id, address, availabilityZone, share: shares.get(id) ?? 0, score: sumScore(parts), parts, heldTokens }
}
