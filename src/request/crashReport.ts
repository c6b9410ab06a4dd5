/**
 * Detects that a backend server crashed under a request, and reports it.
 * @module
 */
import { type BackendServerClient, type BackendServerTarget, ServerReachability } from '../connection/backendServerClient.ts'
import type { BackendServerRecord } from '../process/fleet/backendServerRegistry.ts'
import { FailureReason } from '../process/program/failure.ts'
import { ForwardedAttemptEnd, type ForwardingProgress, type ForwardingServices } from './forwardedAttempt.ts'
import { listTraits } from './requestTraits.ts'

/** Crashes under one request after which it is sent again although the leader is unreachable. */
const maxUnjudgedCrashes = 1

/**
 * Reports a crash under the last attempt of a request, if there was one. A request that had output is not reported: a server
 * that crashes under a request does so before the first output.
 * @param progress - state of the request; `isBlocked` is set when it must not be sent again
 * @param server - the backend server of the attempt
 * @param end - how the attempt ended
 * @param services - dependencies of the request
 * @returns a promise that resolves when the crash has been reported, or its report has failed
 */
export async function reportCrash (progress: ForwardingProgress, server: BackendServerRecord, end: ForwardedAttemptEnd, services: ForwardingServices): Promise<void> {
  const { client, view, control } = services
  if (end !== ForwardedAttemptEnd.Broken || progress.hasOutput) return
  const traits = listTraits(progress.traits)
  if (!await hasCrashed({ address: server.address, id: server.id }, progress.failureReason, client)) return
  view.markSuspect(server.id, FailureReason.Refused)
  const report = { server: server.id, startedAt: server.startedAt, traits, outputs: view.quarantine.findOutputs(traits) }
  const verdict = await control.reportCrash(report)
  if (verdict.isErr()) view.quarantine.queueCrash(report)
  progress.crashes++
  // Without a verdict, one crash may have had another cause; a second one under the same request most likely had not.
  progress.isBlocked = verdict.isOk() ? verdict.value.isBlocked : progress.crashes > maxUnjudgedCrashes
}

async function hasCrashed (target: BackendServerTarget, reason: FailureReason | undefined, client: BackendServerClient): Promise<boolean> {
  if (reason !== FailureReason.Reset && reason !== FailureReason.Incomplete) return false
  // A single connection may also break while the server keeps running; after a crash no process listens at its address.
  return await client.probe(target) === ServerReachability.Stopped
}
