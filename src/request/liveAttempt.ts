/**
 * One attempt of a live request on one backend server.
 * @module
 */
import { randomUUID } from 'node:crypto'
import { TrafficClass } from '../connection/internalClient.ts'
import type { OutputChunkReceiver } from '../connection/protocol.ts'
import type { AttemptFailure } from '../connection/backendAttempt.ts'
import { type BackendServer, recordLiveEnd, recordLiveStart } from '../process/routing/backendServers.ts'
import { FailureReason } from '../process/program/failure.ts'
import { Counter, Latency } from '../process/program/metrics.ts'
import { type InFlightAttempt, AttemptEnd } from '../process/routing/quarantine.ts'
import type { LiveRequest, LiveServices } from './liveServices.ts'

/** What the attempts of a request have brought so far. */
export interface LiveProgress {
  partial: string
  /** Tokens delivered. */
  offset: number
  attempts: number
  /** Whether the first byte of any attempt may have been sent. */
  sent: boolean
  readonly tried: Set<string>
}

/** What an attempt needs. */
export interface LiveAttemptInputs {
  readonly request: LiveRequest
  readonly server: BackendServer
  /** The attempt as the quarantine knows it. */
  readonly flight: InFlightAttempt
  readonly progress: LiveProgress
  readonly services: LiveServices
  readonly deliver: OutputChunkReceiver
}

/**
 * Runs an attempt and adds what it brought to the progress.
 * @param inputs - what it needs
 * @returns why the answer is not whole, or undefined when it is
 */
export async function runLiveAttempt (inputs: LiveAttemptInputs): Promise<AttemptFailure | undefined> {
  const { request, server, flight, progress, services, deliver } = inputs
  const { clock, metrics } = services
  const { address } = server.announcement
  progress.attempts++
  progress.tried.add(address)
  metrics.count(Counter.Attempts, request.pool.name)
  const startedAt = clock.now()
  recordLiveStart(server, startedAt)
  const observation = services.liveWork.start(server)
  let lastChunkAt: number | undefined
  const result = await services.protocols[request.pool.protocol].run(services.connections.to(address), {
    // Callers choose request ids, and attempts of one request follow each other: only an id of its own tells answers apart.
    requestId: `${request.requestId}/${randomUUID()}`,
    input: request.input,
    maxTokens: request.maxTokens,
    partial: progress.partial,
    offset: progress.offset,
    trafficClass: TrafficClass.Live,
    firstByteMs: request.route.firstByteMs,
    betweenBytesMs: request.route.betweenBytesMs,
    signal: request.signal
  }, chunk => {
    const now = clock.now()
    if (lastChunkAt !== undefined) metrics.record(Latency.BetweenTokens, now - lastChunkAt)
    lastChunkAt = now
    observation.recordToken()
    progress.partial += chunk.text
    progress.offset = chunk.offset + 1
    return deliver(chunk)
  })
  recordLiveEnd(server, startedAt, clock.now())
  observation.end()
  const failed = result.isOk() ? undefined : result.error
  progress.sent ||= failed?.sent ?? true
  flight.end(getFlightEnd(failed))
  return failed
}

function getFlightEnd (failed: AttemptFailure | undefined): AttemptEnd {
  if (failed === undefined) return AttemptEnd.Complete
  return failed.sent && failed.failure.reason === FailureReason.Reset ? AttemptEnd.Broken : AttemptEnd.Other
}
