/**
 * One replica of the replicated log: elections, replication, commit, confirmed reads, snapshots and membership.
 * @module
 */
import { type Result, ResultAsync } from 'neverthrow'
import type { Command, Outcome } from '../state/commands.ts'
import { runCompaction } from './compaction.ts'
import type { Failure } from '../program/failure.ts'
import { handOver } from './handover.ts'
import { LogEvents } from '../program/logEvents.ts'
import { handleJoin, runMembership } from './membershipTask.ts'
import { handleAppend } from './replicaAppend.ts'
import { handleVote, runElections } from './replicaElection.ts'
import { adoptMembers, save, stepDown } from './replicaLeadership.ts'
import { lastIndexOf, membersAt, pushEntry } from './replicaLog.ts'
import type {
  AppendResponse, AppendRequest, Identification, JoinResponse, JoinRequest, SnapshotResponse, SnapshotRequest, VoteResponse, VoteRequest
} from './replicaMessages.ts'
import { confirmRead, propose } from './replicaProposals.ts'
import { createCore, type ReplicaCore, type ReplicaInputs, type ReplicaState } from './replicaState.ts'
import { handleSnapshot } from './snapshotInstall.ts'
import { type Entry, type Member, PayloadKind, RecordKind } from './storage.ts'

export { ReplicaRole, type ReplicaInputs, type ReplicaState } from './replicaState.ts'

/** One replica of the replicated log. */
export interface Replica {
  readonly state: ReplicaState
  /**
   * Appends a command and waits until it is applied.
   * @param command - the command
   * @returns its outcome; a failure `unknown outcome` means that it may be applied, any other that it was not appended
   */
  propose (command: Command): ResultAsync<Outcome, Failure>
  /**
   * Confirms that this replica leads and has applied all that was committed before the call.
   * @returns the applied index, or a failure
   */
  confirmRead (): ResultAsync<number, Failure>
  /** Answers a vote request. */
  handleVote (request: VoteRequest): Promise<Result<VoteResponse, Failure>>
  /** Answers an append request. */
  handleAppend (request: AppendRequest): Promise<Result<AppendResponse, Failure>>
  /** Takes a piece of a snapshot. */
  handleSnapshot (request: SnapshotRequest): Promise<Result<SnapshotResponse, Failure>>
  /** Takes a request to join. */
  handleJoin (request: JoinRequest): Result<JoinResponse, Failure>
  /** Tells who this replica is. */
  identify (): Identification
  /**
   * Takes the first membership.
   * @param members - the members
   * @returns false when the replica has another membership already, or is not one of the members
   */
  form (members: readonly Member[]): Promise<boolean>
  /**
   * Ends the leadership, if any, and never leads again.
   * @returns a promise that resolves when a successor has been asked
   */
  resign (): Promise<void>
}

/**
 * Loads the log and starts the replica's tasks.
 * @param inputs - what the replica needs
 * @returns the replica, or a failure when its data can't be used
 */
export function createReplica (inputs: ReplicaInputs): ResultAsync<Replica, Failure> {
  return inputs.storage.load().map(saved => {
    const core = createCore(inputs, saved)
    if (saved.snapshot !== undefined) inputs.importParts(saved.snapshot.parts)
    core.state.members = membersAt(core.state, lastIndexOf(core.state))
    return startReplica(core)
  })
}

function startReplica (core: ReplicaCore): Replica {
  const { inputs, state } = core
  const { lifecycle, storage } = inputs
  lifecycle.addCleanup(() => storage.close())
  lifecycle.addCleanup(() => stepDown(core))
  lifecycle.run(signal => runElections(core, signal))
  lifecycle.run(signal => runCompaction(core, signal))
  lifecycle.run(signal => runMembership(core, signal))
  return {
    state,
    propose: command => new ResultAsync(propose(core, command)),
    confirmRead: () => new ResultAsync(confirmRead(core)),
    handleVote: request => handleVote(core, request),
    handleAppend: request => handleAppend(core, request),
    handleSnapshot: request => handleSnapshot(core, request),
    handleJoin: request => handleJoin(core, request),
    identify: () => identify(core),
    form: members => form(core, members),
    async resign () {
      state.resigned = true
      await handOver({ state, transport: inputs.transport, clock: inputs.clock, stepDown: () => stepDown(core) })
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
