/**
 * Handling of heartbeats by a follower.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { type Failure, Step } from '../program/failure.ts'
import { followLeader } from './replicaAppend.ts'
import { commit } from './replicaCommit.ts'
import { save } from './replicaLeadership.ts'
import type { HeartbeatRequest, HeartbeatResponse } from './replicaMessages.ts'
import { createDiskFullFailure, createStorageFailure, createWrongIdentityFailure, type ReplicaCore } from './replicaState.ts'

/**
 * Handles a heartbeat. Only a newer term is written to disk; entries that wait for their sync do not delay the response.
 * @param core - the replica
 * @param request - the request
 * @returns the response, or a failure
 */
export async function handleHeartbeat (core: ReplicaCore, request: HeartbeatRequest): Promise<Result<HeartbeatResponse, Failure>> {
  const { state } = core
  if (request.to !== state.identity) return err(createWrongIdentityFailure(state, Step.Append, request.to))
  if (request.term < state.term) return ok({ term: state.term })
  if (request.term > state.term && !core.inputs.storage.hasSpace) return err(createDiskFullFailure(state, Step.Append))
  const records = followLeader(core, request)
  if (records.length > 0 && !await save(core, records)) return err(createStorageFailure(state, Step.Append))
  if (state.term !== request.term) return ok({ term: state.term })
  // Up to its match index the log equals that of the leader; later entries may still be replaced.
  const newCommitIndex = Math.min(request.commitIndex, request.matchIndex)
  if (!state.isInstalling && newCommitIndex > state.commitIndex) commit(core, newCommitIndex)
  return ok({ term: request.term })
}
