/**
 * The task of one live request: admission, attempts, retries, and the whole answer in order.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import type { BackendServerConnections } from '../connection/backendServerConnection.ts'
import { TrafficClass } from '../connection/internalClient.ts'
import type { AnswerPart, AttemptFailure, Protocol } from '../connection/protocol.ts'
import type { Accounts, PoolLoad } from '../process/accounts.ts'
import type { BackendServer, BackendServers } from '../process/backendServers.ts'
import type { Clock } from '../process/clock.ts'
import { FailureReason } from '../process/failure.ts'
import { LogEvents } from '../process/logEvents.ts'
import type { Logger } from '../process/logger.ts'
import { Counter, Latency, type Metrics } from '../process/metrics.ts'
import type { Random } from '../process/random.ts'
import type { RetryBudget } from '../process/retryBudget.ts'
import type { Pool, ProtocolKind, Route } from '../version/tables.ts'
import { AdmissionKind, decideAdmission } from './admission.ts'
import { chooseBackendServer, type Location } from './choice.ts'
import { Execution, refuse, type Refusal, RefusalReason } from './refusal.ts'
import { decideRetry, RetryKind } from './retry.ts'

/** A live request as any front end gives it. */
export interface LiveRequest {
  readonly requestId: string
  readonly account: string
  readonly route: Route
  readonly pool: Pool
  readonly input: string
  readonly maxTokens: number
  readonly idempotent: boolean
  /** Monotonic time by which the answer must be complete, in milliseconds. */
  readonly deadline: number
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal
}

/** What live requests need. */
export interface LiveServices {
  readonly accounts: Accounts
  readonly backendServers: BackendServers
  readonly connections: BackendServerConnections
  readonly protocols: Readonly<Record<ProtocolKind, Protocol>>
  readonly retryBudgetOf: (pool: string) => RetryBudget
  readonly location: Location
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
}

/** What the attempts of a request have brought so far. */
interface Progress {
  partial: string
  offset: number
  attempts: number
  readonly tried: Set<string>
}

/**
 * Runs a live request to its end.
 * @param request - the request
 * @param services - what it needs
 * @param deliver - takes each piece of the answer, once and in order
 * @returns the number of tokens, or a refusal; after a refusal the pieces delivered are not a whole answer
 */
export async function runLiveRequest (
  request: LiveRequest, services: LiveServices, deliver: (part: AnswerPart) => void
): Promise<Result<number, Refusal>> {
  const load = services.accounts.loadOf(request.pool)
  const admitted = await admit(request, load, services)
  if (admitted.isErr()) return err(admitted.error)
  const startedAt = services.clock.now()
  services.metrics.count(Counter.Requests, request.route.name)
  try {
    return await runAttempts(request, services, part => {
      if (part.offset === 0) services.metrics.record(Latency.FirstToken, services.clock.now() - startedAt)
      deliver(part)
    })
  } finally {
    load.running--
    leaveAccount(load, request.account)
    load.ended.notify()
  }
}

async function admit (request: LiveRequest, load: PoolLoad, services: LiveServices): Promise<Result<void, Refusal>> {
  const decision = decideAdmission(request.pool, load, request.account)
  if (decision.kind === AdmissionKind.Refuse) return err(refuse(decision.reason, `the limit of pool ${request.pool.name} is reached`, 1_000))
  load.byAccount.set(request.account, (load.byAccount.get(request.account) ?? 0) + 1)
  if (decision.kind === AdmissionKind.Run) {
    load.running++
    return ok(undefined)
  }
  load.waiting++
  const refusal = await waitForRoom(request, load, services.clock)
  load.waiting--
  if (refusal === undefined) {
    load.running++
    return ok(undefined)
  }
  leaveAccount(load, request.account)
  return err(refusal)
}

async function waitForRoom (request: LiveRequest, load: PoolLoad, clock: Clock): Promise<Refusal | undefined> {
  while (load.running >= request.pool.liveConcurrency) {
    const leftMs = request.deadline - clock.now()
    if (leftMs <= 0) return refuse(RefusalReason.Deadline, 'the deadline passed while the request waited')
    if (request.signal.aborted) return refuse(RefusalReason.CallerGone, 'the caller has gone')
    await load.ended.wait(leftMs, request.signal)
  }
  return undefined
}

function leaveAccount (load: PoolLoad, account: string): void {
  const left = (load.byAccount.get(account) ?? 1) - 1
  if (left === 0) load.byAccount.delete(account)
  else load.byAccount.set(account, left)
}

async function runAttempts (request: LiveRequest, services: LiveServices, deliver: (part: AnswerPart) => void): Promise<Result<number, Refusal>> {
  const { backendServers, clock, random, metrics, logger } = services
  const progress: Progress = { partial: '', offset: 0, attempts: 0, tried: new Set() }
  const budget = services.retryBudgetOf(request.pool.name)
  budget.earn()
  while (true) {
    const server = chooseBackendServer(backendServers.available(request.pool.name), services.location, progress.tried, random)
    if (server === undefined) return err(refuse(RefusalReason.NoBackendServer, `no backend server of pool ${request.pool.name} is available`, 1_000))
    const failed = await runAttempt(request, services, server, progress, deliver)
    if (failed === undefined) return ok(progress.offset)
    metrics.count(Counter.AttemptFailures, failed.failure.reason)
    logger.write(LogEvents.attemptFailed, { requestId: request.requestId, failure: failed.failure })
    if (failed.failure.reason === FailureReason.Refused) backendServers.avoid(server)
    const leftMs = request.deadline - clock.now()
    const allowed = decideRetry({ failed, attempts: progress.attempts, idempotent: request.idempotent, leftMs, budgetLeft: true }, random)
    if (allowed.kind === RetryKind.GiveUp) {
      metrics.count(Counter.RetriesDenied, allowed.reason)
      return err(explain(request, failed, progress, leftMs))
    }
    if (!budget.spend()) {
      metrics.count(Counter.RetriesDenied, 'budget')
      return err(explain(request, failed, progress, leftMs))
    }
    metrics.count(Counter.Retries, failed.failure.reason)
    await clock.sleep(allowed.pauseMs, request.signal)
  }
}

async function runAttempt (
  request: LiveRequest, services: LiveServices, server: BackendServer, progress: Progress, deliver: (part: AnswerPart) => void
): Promise<AttemptFailure | undefined> {
  const { clock, metrics } = services
  const address = server.announcement.address
  progress.attempts++
  progress.tried.add(address)
  metrics.count(Counter.Attempts, request.pool.name)
  const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(request.deadline - clock.now())))
  server.liveInFlight++
  server.liveChanged.notify()
  let lastAt: number | undefined
  const result = await services.protocols[request.pool.protocol].run(services.connections.to(address), {
    requestId: request.requestId,
    input: request.input,
    maxTokens: request.maxTokens,
    partial: progress.partial,
    offset: progress.offset,
    trafficClass: TrafficClass.Live,
    firstByteMs: request.route.firstByteMs,
    betweenBytesMs: request.route.betweenBytesMs,
    signal: AbortSignal.any([request.signal, timeout])
  }, part => {
    const now = clock.now()
    if (lastAt !== undefined) metrics.record(Latency.BetweenTokens, now - lastAt)
    lastAt = now
    progress.partial += part.text
    progress.offset = part.offset + 1
    deliver(part)
  })
  server.liveInFlight--
  server.liveChanged.notify()
  return result.isOk() ? undefined : result.error
}

function explain (request: LiveRequest, failed: AttemptFailure, progress: Progress, leftMs: number): Refusal {
  const message = failed.failure.message
  if (request.signal.aborted) return { reason: RefusalReason.CallerGone, execution: Execution.Unknown, message }
  if (leftMs <= 0) return { reason: RefusalReason.Deadline, execution: failed.sent ? Execution.Unknown : Execution.NotRun, message }
  if (progress.offset > 0) return { reason: RefusalReason.IncompleteAnswer, execution: Execution.Ran, message }
  if (!failed.sent && progress.attempts === 1) return refuse(RefusalReason.BackendServerFailed, message, 1_000)
  if (!request.idempotent) return { reason: RefusalReason.AnswerLost, execution: Execution.Unknown, message }
  return { reason: RefusalReason.BackendServerFailed, execution: Execution.Unknown, message }
}
