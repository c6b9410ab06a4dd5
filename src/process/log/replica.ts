/**
 * A replica of the replicated log: starts its tasks and exposes its operations.
 * @module
 */
import { type Result, ResultAsync } from 'neverthrow'
import type { Command, Outcome } from '../state/commands.ts'
import { runCompaction } from './compaction.ts'
import { createFollowerReads } from './followerReads.ts'
import type { Failure } from '../program/failure.ts'
import { LogEvents } from '../program/logEvents.ts'
import { handleJoin, runMembership } from './membershipTask.ts'
import { handleAppend } from './replicaAppend.ts'
import { handleHeartbeat } from './replicaHeartbeat.ts'
import { handleVote, runElections } from './replicaElection.ts'
import { adoptMembers, LeadershipEnd, save, stepDown, yieldLeadership } from './replicaLeadership.ts'
import { lastIndexOf, membersAt, pushEntry } from './replicaLog.ts'
import type {
  AppendRequest, AppendResponse, HeartbeatRequest, HeartbeatResponse, Identification, JoinRequest, JoinResponse, SnapshotRequest, SnapshotResponse, VoteRequest, VoteResponse
} from './replicaMessages.ts'
import { createSharedReads, propose } from './replicaProposals.ts'
import { createCore, type ReplicaCore, type ReplicaInputs, ReplicaRole, type ReplicaState } from './replicaState.ts'
import { handleSnapshot } from './snapshotInstall.ts'
import { type Entry, type Member, PayloadKind, RecordKind } from './storage.ts'

export { ReplicaRole, type ReplicaInputs, type ReplicaState } from './replicaState.ts'

/** A replica of the replicated log. */
export interface Replica {
  readonly state: ReplicaState
  /**
   * Appends a command and waits until it is applied.
   * @param command - the command
   * @returns its outcome; with the failure `unknown outcome` the command may still be applied, with any other it was not appended
   */
  propose (command: Command): ResultAsync<Outcome, Failure>
  /**
   * Confirms that this replica is the leader and has applied every entry that was committed before the call.
   * @returns the applied index, or a failure
   */
  confirmRead (): ResultAsync<number, Failure>
  /**
   * Waits until this replica, whatever its role, has applied every entry that was committed before the call.
   * @returns the applied index, or a failure
   */
  confirmLocalRead (): ResultAsync<number, Failure>
  /**
   * Handles a vote request.
   * @param request - the request
   * @returns the response, or a failure
   */
  handleVote (request: VoteRequest): Promise<Result<VoteResponse, Failure>>
  /**
   * Handles an append request.
   * @param request - the request
   * @returns the response, or a failure
   */
  handleAppend (request: AppendRequest): Promise<Result<AppendResponse, Failure>>
  /**
   * Handles a heartbeat.
   * @param request - the request
   * @returns the response, or a failure
   */
  handleHeartbeat (request: HeartbeatRequest): Promise<Result<HeartbeatResponse, Failure>>
  /**
   * Handles a chunk of a snapshot.
   * @param request - the chunk
   * @returns the progress of the transfer, or a failure
   */
  handleSnapshot (request: SnapshotRequest): Promise<Result<SnapshotResponse, Failure>>
  /**
   * Handles a join request.
   * @param request - the request
   * @returns whether the host will be added, or a failure that names the leader
   */
  handleJoin (request: JoinRequest): Result<JoinResponse, Failure>
  /**
   * Describes this replica to other control hosts.
   * @returns its identity and membership state
   */
  identify (): Identification
  /**
   * Adopts the first membership.
   * @param members - the members
   * @returns true when the membership is saved; false when the replica already has another membership or log entries, is not
   * one of the members, or its storage has failed
   */
  form (members: readonly Member[]): Promise<boolean>
  /**
   * Transfers the leadership if this replica is the leader, and prevents it from becoming a candidate again; it still votes.
   * @returns a promise that resolves when the transfer has been requested
   */
  resign (): Promise<void>
}

/**
 * Loads the log and starts the tasks of the replica.
 * @param inputs - dependencies and settings of the replica
 * @returns the replica, or a failure when its data cannot be loaded
 */
export function createReplica (inputs: ReplicaInputs): ResultAsync<Replica, Failure> {
  return inputs.storage.load().map(saved => {
    const core = createCore(inputs, saved)
    if (saved.snapshot !== undefined) inputs.importChunks(saved.snapshot.parts)
    core.state.members = membersAt(core.state, lastIndexOf(core.state))
    return startReplica(core)
  })
}

function startReplica (core: ReplicaCore): Replica {
  const { inputs, state } = core
  const { lifecycle, storage } = inputs
  const followerReads = createFollowerReads(core)
  const confirmRead = createSharedReads(core)
  lifecycle.addCleanup(() => storage.close())
  lifecycle.addCleanup(() => stepDown(core, LeadershipEnd.Closed))
  lifecycle.run(signal => runElections(core, signal))
  lifecycle.run(signal => runCompaction(core, signal))
  lifecycle.run(signal => runMembership(core, signal))
  return {
    state,
    propose: command => new ResultAsync(propose(core, command)),
    confirmRead: () => new ResultAsync(confirmRead()),
    confirmLocalRead: () => new ResultAsync(state.role === ReplicaRole.Leader ? confirmRead() : followerReads.confirm()),
    handleVote: request => handleVote(core, request),
    handleAppend: request => handleAppend(core, request),
    handleHeartbeat: request => handleHeartbeat(core, request),
    handleSnapshot: request => handleSnapshot(core, request),
    handleJoin: request => handleJoin(core, request),
    identify: () => identify(core),
    form: members => form(core, members),
    async resign () {
      state.hasResigned = true
      await yieldLeadership(core, LeadershipEnd.Transferred)
    }
  }
}

function identify ({ inputs, state }: ReplicaCore): Identification {
  const { identity, address, leaderAddress } = state
  return { identity, address, availabilityZone: inputs.availabilityZone, formed: state.members.length > 0, leaderAddress }
}

async function form (core: ReplicaCore, members: readonly Member[]): Promise<boolean> {
  const { state, inputs } = core
  if (state.members.length > 0) return JSON.stringify(state.members) === JSON.stringify(members)
  if (lastIndexOf(state) > 0 || !members.some(member => member.identity === state.identity)) return false
  const entry: Entry = { index: 1, term: 0, payload: { kind: PayloadKind.Members, members } }
  pushEntry(state, entry)
  adoptMembers(core, members)
  inputs.logger.write(LogEvents.logBootstrapped, { value: members.length })
  return await save(core, [{ kind: RecordKind.Entry, entry }])
}
