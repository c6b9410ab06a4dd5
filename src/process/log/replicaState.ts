/**
 * The state of a replica, and what its functions share.
 * @module
 */
import type { Result } from 'neverthrow'
import type { Command, Outcome } from '../state/commands.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { createFailure, type Failure, FailureReason, type Step } from '../program/failure.ts'
import type { ProcessServices } from '../program/processServices.ts'
import type { Transport } from './replicaMessages.ts'
import type { StateChunk } from '../state/stateSnapshot.ts'
import { emptyPoint, type Entry, type Member, type SavedLog, type SnapshotPoint, type Storage } from './storage.ts'

/** What a replica does at the moment. */
export const ReplicaRole = { Follower: 'follower', Candidate: 'candidate', Leader: 'leader' } as const
export type ReplicaRole = typeof ReplicaRole[keyof typeof ReplicaRole]

/** What a leader knows about another replica. */
export interface Progress {
  nextIndex: number
  matchIndex: number
  /** Monotonic time at which the last answered request was sent, in milliseconds. */
  acknowledgedAt: number
  /** Newest read round that was current when the last answered request was sent. */
  confirmedReadRound: number
  /** Last index of the leader when the present round of catching up began. */
  catchUpTargetIndex: number
  /** Monotonic time at which that round began, in milliseconds. */
  catchUpStartedAt: number
  /** Whether a round took less than an election timeout. */
  isCaughtUp: boolean
}

/** The state of a replica. Owned by `createReplica`; the peer tasks read it and report to it. */
export interface ReplicaState {
  readonly identity: string
  readonly address: string
  role: ReplicaRole
  term: number
  votedFor: string | undefined
  /** The point before the first entry in memory. */
  base: SnapshotPoint
  /** Entries after the base, without gaps. */
  entries: Entry[]
  /** The point of the newest durable snapshot. */
  snapshot: SnapshotPoint
  /** Size of the newest snapshot, in bytes; 0 when it is not known. */
  snapshotBytes: number
  /** Approximate size of the commands applied since the newest snapshot, in bytes. */
  appliedBytes: number
  members: readonly Member[]
  commitIndex: number
  appliedIndex: number
  /** Last own entry that is synced, while leading. */
  syncedIndex: number
  leaderAddress: string | undefined
  /** Monotonic time at which a leader was last heard, in milliseconds. */
  lastContactAt: number
  /** Monotonic time at which the leadership began, in milliseconds. */
  ledSince: number
  /** Index of the first entry of the own term, while leading. */
  termStartIndex: number
  /** Number of the newest round of reads to confirm. */
  readRound: number
  /** Whether this replica shuts down and never leads again. */
  resigned: boolean
  /** Whether the state is being exported; commands wait meanwhile, so that all parts are of one point. */
  exporting: boolean
  /** Whether a snapshot is being written or installed; there is one at a time. */
  snapshotBusy: boolean
  /** Whether a received snapshot is being installed; entries are refused meanwhile. */
  installing: boolean
  readonly progress: Map<string, Progress>
  /** Notified when there is something to send. */
  readonly replicationPending: Condition
  /** Notified when a request was answered. */
  readonly acknowledged: Condition
  /** Notified when commands were applied or the role changed. */
  readonly changed: Condition
}

/** When the log is compacted. */
export interface CompactionLimits {
  /** Entries since the newest snapshot. */
  readonly entries: number
  /** Approximate bytes since the newest snapshot. */
  readonly bytes: number
  /** Entries before the newest snapshot that stay in memory for followers that are slightly behind. */
  readonly retained: number
}

/** What a replica needs. */
export interface ReplicaInputs extends ProcessServices {
  readonly address: string
  readonly availabilityZone: string
  /** How many voters there should be. */
  readonly voters: number
  readonly storage: Storage
  readonly transport: Transport
  readonly compaction?: CompactionLimits
  /** Applies a committed command in log order. */
  readonly apply: (command: Command, index: number) => Outcome
  /** Exports the state machine in parts; it is not changed until the last part was taken. */
  readonly exportParts: () => Iterable<StateChunk>
  /** Replaces the state machine. */
  readonly importParts: (parts: Iterable<StateChunk>) => void
}

/** A command that waits to be applied. */
export interface Proposal {
  readonly term: number
  readonly settle: (result: Result<Outcome, Failure>) => void
}

/** A control host that asked to become a member. */
export interface Candidate {
  readonly identity: string
  readonly address: string
  readonly availabilityZone: string
  /** Monotonic time of its last request, in milliseconds. */
  readonly askedAt: number
}

/** A replica as its functions see it. */
export interface ReplicaCore {
  readonly inputs: ReplicaInputs
  readonly state: ReplicaState
  /** Proposals by index. */
  readonly proposals: Map<number, Proposal>
  /** The tasks for other replicas, by identity. */
  readonly peers: Map<string, AbortController>
  /** Hosts that asked to join, by address. */
  readonly candidates: Map<string, Candidate>
  /** Notified when a candidate asked to join. */
  readonly joinAsked: Condition
  /** The newest sync; it ends after all earlier ones. */
  saving: Promise<boolean>
  /** Whether a sync has failed; nothing is written or answered after that. */
  isStorageFailed: boolean
}

/**
 * Creates the state from what was saved.
 * @param inputs - what the replica needs
 * @param saved - the loaded log
 * @returns the replica
 */
export function createCore (inputs: ReplicaInputs, saved: SavedLog): ReplicaCore {
  const point = saved.snapshot?.point ?? emptyPoint
  const { clock } = inputs
  const state: ReplicaState = {
    identity: saved.identity,
    address: inputs.address,
    role: ReplicaRole.Follower,
    term: saved.term,
    votedFor: saved.votedFor,
    base: point,
    entries: [...saved.entries],
    snapshot: point,
    snapshotBytes: 0,
    appliedBytes: 0,
    members: [],
    commitIndex: point.index,
    appliedIndex: point.index,
    syncedIndex: 0,
    leaderAddress: undefined,
    lastContactAt: clock.now(),
    ledSince: 0,
    termStartIndex: 0,
    readRound: 0,
    resigned: false,
    exporting: false,
    snapshotBusy: false,
    installing: false,
    progress: new Map(),
    replicationPending: createCondition(clock),
    acknowledged: createCondition(clock),
    changed: createCondition(clock)
  }
  return { inputs, state, proposals: new Map(), peers: new Map(), candidates: new Map(), joinAsked: createCondition(clock), saving: Promise.resolve(true), isStorageFailed: false }
}

/**
 * Creates the failure of a replica that does not lead.
 * @param state - the replica
 * @param step - the step that needs the leader
 * @returns the failure, with the leader's address when it is known
 */
export function notLeader (state: ReplicaState, step: Step): Failure {
  return createFailure(FailureReason.NotLeader, { step, peer: state.address, alternative: state.leaderAddress }, 'this replica is not the leader')
}

/**
 * Creates the failure of a request that is meant for another identity.
 * @param state - the replica
 * @param step - the step
 * @param to - the identity that the request names
 * @returns the failure
 */
export function wrongIdentity (state: ReplicaState, step: Step, to: string): Failure {
  return createFailure(FailureReason.Rejected, { step, peer: state.address }, `the request is for identity ${to}, this replica is ${state.identity}`)
}

/**
 * Creates the failure of a replica whose storage failed.
 * @param state - the replica
 * @param step - the step
 * @returns the failure
 */
export function storageEnded (state: ReplicaState, step: Step): Failure {
  return createFailure(FailureReason.Storage, { step, peer: state.address }, 'the storage of this replica has failed')
}
