/**
 * The task of one live request: admission, attempts, retries, and in-order delivery of the response.
 * @module
 */
import type { LiveRequest, LiveServices } from './liveServices.ts'
import { err, ok, type Result } from 'neverthrow'
import type { OutputChunkReceiver } from '../connection/protocol.ts'
import type { AttemptFailure } from '../connection/backendAttempt.ts'
import type { BackendServer } from '../process/routing/backendServers.ts'
import { FailureReason } from '../process/program/failure.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import { Counter, Latency } from '../process/program/metrics.ts'
import { createFingerprint, type InFlightAttempt } from '../process/routing/quarantine.ts'
import { type LiveProgress, runLiveAttempt } from './liveAttempt.ts'
import { chooseBackendServer, estimateBytes, createPrefixKey } from './backendServerChoice.ts'
import { acquireLiveSlot } from './liveSlot.ts'
import { getExecution, createFailureRefusal, createRefusal, type Refusal, RefusalReason } from './refusal.ts'
import { decideRetry, RetryKind } from './retry.ts'

/** Average duration of a request assumed until the first one of the pool has ended, in milliseconds. */
const assumedDurationMs = 1_000

/** Longest interval between two checks for a backend server on which no other request suspected of crashing it runs, in milliseconds. */
const suspectRecheckMs = 1_000

/**
 * Runs a live request to its end.
 * @param request - the request
 * @param services - dependencies of the request
 * @param deliver - receives each chunk of the response, once and in order; a pending promise applies backpressure
 * @returns the number of tokens, or a refusal; after a refusal the delivered chunks are an incomplete response
 */
export async function runLiveRequest (request: LiveRequest, services: LiveServices, deliver: OutputChunkReceiver): Promise<Result<number, Refusal>> {
  const { poolLoads, clock, quarantine, metrics } = services
  const fingerprint = createFingerprint(request.account, request.route.name, request.input)
  if (quarantine.isQuarantined(fingerprint)) return err(createRefusal(RefusalReason.Quarantined, 'the request has crashed backend servers'))
  const slot = await acquireLiveSlot(request, poolLoads.getLoad(request.pool), clock)
  if (slot.isErr()) return err(slot.error)
  const startedAt = clock.now()
  metrics.count(Counter.Requests, request.route.name)
  const abortController = new AbortController()
  const abort = (): void => abortController.abort()
  const timer = setTimeout(abort, request.deadline - startedAt)
  request.signal.addEventListener('abort', abort, { once: true })
  if (request.signal.aborted) abort()
  try {
    return await runAttempts({ ...request, signal: abortController.signal }, request.signal, fingerprint, services, chunk => {
      if (chunk.offset === 0) metrics.record(Latency.FirstToken, clock.now() - startedAt)
      return deliver(chunk)
    })
  } finally {
    clearTimeout(timer)
    request.signal.removeEventListener('abort', abort)
    slot.value.release()
  }
}

async function runAttempts (
  request: LiveRequest, callerSignal: AbortSignal, fingerprint: string, services: LiveServices, deliver: OutputChunkReceiver
): Promise<Result<number, Refusal>> {
  const { clock, random, metrics, logger, quarantine } = services
  const progress: LiveProgress = { partial: '', offset: 0, attempts: 0, sent: false, tried: new Set() }
  const budget = services.getRetryBudget(request.pool.name)
  budget.earn()

  // The refusal covers all attempts: a request is "not run" only if none of its attempts sent anything.
  function giveUp (reason: RefusalReason, message: string, retryAfterMs?: number): Result<number, Refusal> {
    return err({ ...createRefusal(reason, message, retryAfterMs), execution: getExecution(progress) })
  }

  while (true) {
    const target = await acquireTarget(request, fingerprint, progress, services)
    if (target === undefined) {
      if (callerSignal.aborted) return giveUp(RefusalReason.CallerDisconnected, 'the caller has gone')
      if (request.signal.aborted) return giveUp(RefusalReason.Deadline, 'the deadline passed')
      return giveUp(RefusalReason.NoBackendServer, `no backend server of pool ${request.pool.name} is available`, 1_000)
    }
    const { server, inFlightAttempt } = target
    const { incarnation } = server.announcement
    const failed = await runLiveAttempt({ request, server, inFlightAttempt, progress, services, deliver })
    if (failed === undefined) return ok(progress.offset)
    metrics.count(Counter.AttemptFailures, failed.failure.reason)
    logger.write(LogEvents.attemptFailed, { requestId: request.requestId, failure: failed.failure })
    await handleFailure(failed, server, incarnation, services)
    if (quarantine.isQuarantined(fingerprint)) return giveUp(RefusalReason.Quarantined, 'the request has crashed backend servers')
    const remainingMs = request.signal.aborted ? 0 : request.deadline - clock.now()
    const decision = decideRetry({ failed, attempts: progress.attempts, idempotent: request.idempotent, remainingMs, hasBudget: budget.hasRetry }, random)
    if (decision.kind === RetryKind.GiveUp) {
      metrics.count(Counter.RetriesDenied, decision.reason)
      const { message } = failed.failure
      return err(createFailureRefusal({ progress, idempotent: request.idempotent, isCallerDisconnected: callerSignal.aborted, isDeadlinePassed: remainingMs <= 0, message }))
    }
    budget.spend()
    metrics.count(Counter.Retries, failed.failure.reason)
    await clock.sleep(decision.pauseMs, request.signal)
  }
}

/** Backend server, and the attempt registered with the quarantine for it. */
interface Target {
  readonly server: BackendServer
  readonly inFlightAttempt: InFlightAttempt
}

/**
 * Chooses a backend server and registers the attempt in the same step. A request suspected of crashing backend servers
 * waits until there is one on which no other suspect runs.
 */
async function acquireTarget (
  request: LiveRequest, fingerprint: string, progress: LiveProgress, services: LiveServices
): Promise<Target | undefined> {
  const { backendServers, quarantine, poolLoads, location, random, clock } = services
  while (!request.signal.aborted) {
    const available = backendServers.listAvailable(request.pool.name)
    const candidates = available.filter(server => quarantine.canRun(fingerprint, server.announcement.address))
    if (candidates.length > 0 || available.length === 0) {
      const server = chooseBackendServer({
        candidates,
        location,
        tried: progress.tried,
        prefixKey: createPrefixKey(request.input),
        bytes: estimateBytes(request.input, request.maxTokens),
        averageDurationMs: poolLoads.getLoad(request.pool).averageDurationMs || assumedDurationMs,
        now: clock.now()
      }, random)
      if (server === undefined) return undefined
      return { server, inFlightAttempt: quarantine.registerAttempt(fingerprint, server.announcement.address, server.announcement.incarnation) }
    }
    await quarantine.suspectEnded.wait(Math.min(suspectRecheckMs, request.deadline - clock.now()), request.signal)
  }
  return undefined
}

/** Updates the state of the backend server after a failed attempt. */
async function handleFailure (failed: AttemptFailure, server: BackendServer, incarnation: string, services: LiveServices): Promise<void> {
  const { backendServers, inspection, logger } = services
  switch (failed.failure.reason) {
    case FailureReason.Refused:
      backendServers.avoid(server)
      return
    case FailureReason.Reset:
      // Before the retry it must be known whether the request has become a suspect.
      if (failed.sent) await inspection.inspect(server, incarnation)
      return
    case FailureReason.Timeout:
      logger.write(LogEvents.connectionTimedOut, { peer: server.announcement.address })
      inspection.inspect(server, incarnation).catch(() => {})
  }
}
