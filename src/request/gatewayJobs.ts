/**
 * Jobs at the gateway: submission, results, bodies of items and the end of a job, by calls to the leader of the control hosts.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import type { ControlClient } from '../connection/controlClient.ts'
import { CommandKind, OutcomeKind } from '../process/state/commands.ts'
import { FailureReason } from '../process/program/failure.ts'
import type { FleetView } from '../process/fleet/fleetView.ts'
import type { GatewayDrain } from '../process/fleet/gatewayDrain.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { Counter } from '../process/program/metrics.ts'
import type { ProcessServices } from '../process/program/processServices.ts'
import { QueryKind } from '../process/state/queries.ts'
import { longPollMs } from '../process/state/watchMessages.ts'
import type { ResultPage } from '../process/jobs/submissions.ts'
import type { JobCaller, SubmittedItem } from '../process/jobs/submission.ts'
import { listRoutes, matchRoute, RouteKind } from '../version/gatewayTables.ts'
import { GatewayRefusal } from './callerExchange.ts'
import { identifyCaller } from './callerIdentity.ts'
import { refuseUnknownRoute } from './forwardedRequest.ts'

/** Timeout of a submission or of the end of a job, in milliseconds; the caller retries it after that. */
export const commandTimeoutMs = 3_000

/** Timeout of a read without its long poll, in milliseconds. */
export const readTimeoutMs = 1_200

/** Dependencies of jobs at the gateway. */
export interface GatewayJobServices extends Pick<ProcessServices, 'clock' | 'logger' | 'metrics'> {
  readonly view: FleetView
  readonly drain: Pick<GatewayDrain, 'lastEndAt'>
  readonly control: Pick<ControlClient, 'execute' | 'read'>
}

/** How the caller of a job identifies itself. */
export interface JobAccess {
  /** Host name of the request, without a port. */
  readonly host: string
  /** Key of a client account as the caller sent it; undefined if it sent none. */
  readonly credential?: string | undefined
}

/** Job as submitted by its caller. */
export interface JobSubmission extends JobAccess {
  readonly id: string
  readonly path: string
  readonly items: readonly SubmittedItem[]
}

/**
 * Submits a job. Submitting the same job again succeeds.
 * @param job - the job
 * @param services - dependencies
 * @returns nothing once the job is durable, or a refusal
 */
export async function submitJob (job: JobSubmission, services: GatewayJobServices): Promise<Result<void, GatewayRefusal>> {
  const { view, control, clock } = services
  const startedAt = clock.now()
  if (view.tables === undefined || !view.canServe) return refuseJob(job, GatewayRefusal.NotReady, services)
  const route = matchRoute(view.routes, job.host, job.path)
  if (route === undefined || route.kind !== RouteKind.Batch) return refuseJob(job, refuseUnknownRoute(view), services)
  const identified = identifyCaller(job.credential, route.isPublic === true, view)
  if (identified.isErr()) return refuseJob(job, identified.error, services)
  if (getTimeLeftMs(services) < commandTimeoutMs) return refuseJob(job, GatewayRefusal.Draining, services)
  const { id, host, items } = job
  const account = identified.value?.name
  const submission = { id, host, items, route: route.name, pathPrefix: route.pathPrefix, acceptedAt: 0, giveUpAt: 0, ...(account === undefined ? {} : { account }) }
  const outcome = await control.execute({
    kind: CommandKind.Submit, submission, tokenLimit: route.waitingTokens, giveUpMs: route.giveUpMs, time: 0
  }, commandTimeoutMs)
  if (outcome.isErr() && outcome.error.reason === FailureReason.Rejected) return refuseJob(job, GatewayRefusal.Overloaded, services, outcome.error.reason)
  // Any other call that failed may have been executed, so the response must not say that the job has not run.
  if (outcome.isErr()) return refuseJob(job, GatewayRefusal.Failed, services, outcome.error.reason)
  // The id is that of a job of another account, so this one has not run and never will.
  if (outcome.value.kind === OutcomeKind.Conflict) return refuseJob(job, GatewayRefusal.Invalid, services, outcome.value.text)
  if (outcome.value.kind === OutcomeKind.Limit) return refuseJob(job, GatewayRefusal.QuotaExceeded, services, outcome.value.text)
  services.metrics.count(Counter.Requests, 'job accepted')
  services.logger.write(LogEvents.submissionAccepted, {
    requestId: job.id, value: items.length, inputs: { route: route.name, version: view.tables.version, totalMs: Math.round(clock.now() - startedAt) }
  })
  return ok(undefined)
}

function refuseJob (job: JobSubmission, refusal: GatewayRefusal, services: GatewayJobServices, detail = ''): Result<void, GatewayRefusal> {
  services.metrics.count(Counter.Refusals, refusal)
  services.logger.write(LogEvents.submissionRefused, { requestId: job.id, reason: refusal, detail, inputs: { version: services.view.tables?.version ?? 0 } })
  return err(refusal)
}

/**
 * Reads results of a job.
 * @param job - id of the job
 * @param after - position of the first result to return
 * @param waitMs - duration of the long poll for a result, in milliseconds
 * @param access - how the caller identifies itself
 * @param services - dependencies
 * @returns a page of results, undefined when the job does not exist or belongs to another client account, or a refusal
 */
export async function readJobResults (job: string, after: number, waitMs: number, access: JobAccess, services: GatewayJobServices): Promise<Result<ResultPage | undefined, GatewayRefusal>> {
  const caller = identifyJobCaller(access, services)
  if (caller.isErr()) return refuseRead(job, '', services, caller.error)
  const timeLeftMs = getTimeLeftMs(services)
  if (timeLeftMs < readTimeoutMs) return refuseRead(job, '', services, GatewayRefusal.Draining)
  // Control hosts wait no longer than their long poll, a timer for a very long time would fire at once, and a draining gateway
  // shortens the long poll, so that it answers before it ends.
  const pollMs = Math.min(waitMs, longPollMs, Math.floor(timeLeftMs - readTimeoutMs))
  const response = await services.control.read({ kind: QueryKind.SubmissionResults, job, after, waitMs: pollMs, caller: caller.value }, readTimeoutMs + pollMs)
  if (response.isErr() || response.value.kind !== QueryKind.SubmissionResults) return refuseRead(job, response.isErr() ? response.error.reason : '', services)
  if (response.value.isForeign === true && mayLackAccounts(services.view)) return refuseRead(job, '', services)
  return ok(response.value.page)
}

/**
 * Reads the body of an item that has no result yet.
 * @param job - id of the job
 * @param item - id of the item
 * @param access - how the caller identifies itself
 * @param services - dependencies
 * @returns the body, undefined when there is none or the job belongs to another client account, or a refusal
 */
export async function readItemBody (job: string, item: string, access: JobAccess, services: GatewayJobServices): Promise<Result<Uint8Array | undefined, GatewayRefusal>> {
  const caller = identifyJobCaller(access, services)
  if (caller.isErr()) return refuseRead(job, '', services, caller.error)
  if (getTimeLeftMs(services) < readTimeoutMs) return refuseRead(job, '', services, GatewayRefusal.Draining)
  const response = await services.control.read({ kind: QueryKind.SubmittedBody, job, item, caller: caller.value }, readTimeoutMs)
  if (response.isErr() || response.value.kind !== QueryKind.SubmittedBody) return refuseRead(job, response.isErr() ? response.error.reason : '', services)
  if (response.value.isForeign === true && mayLackAccounts(services.view)) return refuseRead(job, '', services)
  return ok(response.value.body)
}

function refuseRead<Value> (job: string, detail: string, services: GatewayJobServices, refusal: GatewayRefusal = GatewayRefusal.NotReady): Result<Value, GatewayRefusal> {
  services.metrics.count(Counter.Refusals, refusal)
  services.logger.write(LogEvents.requestRefused, { requestId: job, reason: refusal, detail, inputs: { knowledgeAgeMs: Math.round(services.clock.now() - services.view.lastContactAt) } })
  return err(refusal)
}

/**
 * Ends a job.
 * @param job - id of the job
 * @param access - how the caller identifies itself
 * @param services - dependencies
 * @returns whether the job existed and the caller may end it, or a refusal when it may not have ended
 */
export async function endJob (job: string, access: JobAccess, services: GatewayJobServices): Promise<Result<boolean, GatewayRefusal>> {
  const caller = identifyJobCaller(access, services)
  if (caller.isErr()) return refuseRead(job, '', services, caller.error)
  if (getTimeLeftMs(services) < commandTimeoutMs) return refuseRead(job, '', services, GatewayRefusal.Draining)
  const outcome = await services.control.execute({ kind: CommandKind.EndSubmission, job, ...(caller.value === undefined ? {} : { caller: caller.value }) }, commandTimeoutMs)
  if (outcome.isErr()) return err(GatewayRefusal.Failed)
  if (outcome.value.kind === OutcomeKind.Conflict && mayLackAccounts(services.view)) return refuseRead(job, '', services)
  services.logger.write(LogEvents.submissionEnded, { requestId: job, reason: outcome.value.kind })
  return ok(outcome.value.kind !== OutcomeKind.NotFound && outcome.value.kind !== OutcomeKind.Conflict)
}

// Returns undefined if jobs need no key. A host that may lack accounts does not know which key belongs to which account, so that it may
// only serve jobs without one.
function identifyJobCaller ({ host, credential }: JobAccess, { view }: GatewayJobServices): Result<JobCaller | undefined, GatewayRefusal> {
  if (mayLackAccounts(view)) return ok({})
  if (view.accounts === undefined) return ok(undefined)
  if (!view.canServe) return err(GatewayRefusal.NotReady)
  const isPublic = listRoutes(view.routes, host).some(route => route.kind === RouteKind.Batch && route.isPublic === true)
  return identifyCaller(credential, isPublic, view).map(account => account === undefined ? {} : { account: account.name })
}

function mayLackAccounts ({ tables, accounts, tablesOutdatedMs }: FleetView): boolean {
  return tables === undefined || (accounts === undefined && tablesOutdatedMs !== undefined)
}

// Returns the time within which a call must end, in milliseconds; Infinity unless the gateway is draining.
function getTimeLeftMs ({ drain, clock }: GatewayJobServices): number {
  return drain.lastEndAt - clock.now()
}
