/**
 * The state of a replica, and the core that the modules of the replica share.
 * @module
 */
import type { Command, Outcome } from '../state/commands.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { createFailure, type Failure, FailureReason, type Step } from '../program/failure.ts'
import type { ProcessServices } from '../program/processServices.ts'
import { createPendingProposals, type PendingProposals } from './pendingProposals.ts'
import type { Transport } from './replicaMessages.ts'
import type { StateChunk } from '../state/stateSnapshot.ts'
import { emptyPoint, type Entry, type Member, type SavedLog, type SnapshotPoint, type Storage } from './storage.ts'

/** Roles of a replica. */
export const ReplicaRole = { Follower: 'follower', Candidate: 'candidate', Leader: 'leader' } as const
export type ReplicaRole = typeof ReplicaRole[keyof typeof ReplicaRole]

/** State of the leader when it sent a request to another replica. */
export interface SentRequest {
  /** Monotonic time in milliseconds. */
  readonly sentAt: number
  /** Number of the newest read round that had begun. */
  readonly readRound: number
}

/** Replication progress of another replica, as known to the leader. */
export interface Progress {
  /** Index of the next entry to send. */
  nextIndex: number
  /** Highest index known to be synced by the replica. */
  matchIndex: number
  /** Monotonic time at which the last request that got a response was sent, in milliseconds. */
  acknowledgedAt: number
  /** Request or snapshot in transit. */
  transfer: SentRequest | undefined
  /** Whether the replica was sent a snapshot and has not caught up since. */
  isRestoring: boolean
  /** Index of the snapshot that is being sent; undefined without one. */
  sentSnapshotIndex: number | undefined
  /** Newest read round that had begun when a request that got a response was sent. */
  confirmedReadRound: number
  /** Last index of the leader's log when the current catch-up round began. */
  catchUpTargetIndex: number
  /** Monotonic time at which the current catch-up round began, in milliseconds. */
  catchUpStartedAt: number
  /** Monotonic time before which all entries are known to have arrived, in milliseconds: the start of the last completed catch-up round; -Infinity before the first. */
  caughtUpAt: number
}

/** The state of a replica. It is owned by the replica; the peer tasks read it and report changes to the replica. */
export interface ReplicaState {
  readonly identity: string
  readonly address: string
  role: ReplicaRole
  term: number
  votedFor: string | undefined
  /** The point before the first entry in memory. */
  base: SnapshotPoint
  /** Contiguous entries after the base. */
  entries: Entry[]
  /** The point of the newest durable snapshot. */
  snapshot: SnapshotPoint
  /** Size of the newest snapshot, in bytes; 0 when it is unknown. */
  snapshotBytes: number
  /** Approximate size of the commands applied since the newest snapshot, in bytes. */
  appliedBytes: number
  members: readonly Member[]
  commitIndex: number
  appliedIndex: number
  /** Index of the last entry that is synced in the own log; valid while leading. */
  syncedIndex: number
  leaderAddress: string | undefined
  /** Monotonic time of the last contact with a leader or of the last vote granted, in milliseconds. */
  lastContactAt: number
  /** Monotonic time at which the leadership began, in milliseconds; valid while leading. */
  leaderSince: number
  /** Index of the first entry of the own term; valid while leading. */
  termStartIndex: number
  /** Number of the newest read round. */
  readRound: number
  /** Whether this replica is shutting down, and therefore no longer becomes a candidate. */
  hasResigned: boolean
  /** Whether the state machine is being exported; no command is applied meanwhile, so that all chunks reflect one index. */
  isExporting: boolean
  /** Whether a snapshot is being written or installed; there is at most one at a time. */
  isSnapshotInProgress: boolean
  /** Whether a received snapshot is being installed; append requests are rejected meanwhile. */
  isInstalling: boolean
  /** Progress of the other members while leading, by identity. */
  readonly progress: Map<string, Progress>
  /** Notified when there are entries, a commit index or a read round to send to the other replicas. */
  readonly replicationPending: Condition
  /** Notified when a peer has responded, entries were applied, or this replica has stepped down. */
  readonly acknowledged: Condition
  /** Notified when entries were applied, a snapshot installation has ended, or the role changed. */
  readonly changed: Condition
}

/** Limits at which the log is compacted, and what remains in memory. */
export interface CompactionLimits {
  /** Entries since the newest snapshot that make a snapshot due. */
  readonly entries: number
  /** Approximate bytes of entries since the newest snapshot that make a snapshot due. */
  readonly bytes: number
  /** Approximate bytes of entries since the newest snapshot that make a snapshot due, however large that snapshot is. */
  readonly maxBytes: number
  /** Entries before the newest snapshot that are retained in memory for followers that are slightly behind. */
  readonly retained: number
  /** Approximate maximum size of these entries, in bytes. */
  readonly retainedBytes: number
}

/** Dependencies and settings of a replica. */
export interface ReplicaInputs extends ProcessServices {
  readonly address: string
  readonly availabilityZone: string
  /** Target number of voters. */
  readonly voters: number
  readonly storage: Storage
  readonly transport: Transport
  readonly compaction?: CompactionLimits
  /** Applies a committed command in log order. */
  readonly apply: (command: Command, index: number) => Outcome
  /** Exports the state machine in chunks; no command is applied until the last chunk is consumed. */
  readonly exportChunks: () => Iterable<StateChunk>
  /** Replaces the state of the state machine by exported chunks. */
  readonly importChunks: (stateChunks: Iterable<StateChunk>) => void
}

/** A join request that the leader has not fulfilled yet. */
export interface PendingJoin {
  readonly identity: string
  readonly address: string
  readonly availabilityZone: string
  /** Monotonic time of the last request of the host, in milliseconds. */
  readonly requestedAt: number
}

/** A replica as seen by the modules that implement it. */
export interface ReplicaCore {
  readonly inputs: ReplicaInputs
  readonly state: ReplicaState
  readonly proposals: PendingProposals
  /** Controllers that end the peer tasks, by identity of the other replica. */
  readonly peers: Map<string, AbortController>
  /** Pending join requests, by address of the host. */
  readonly pendingJoins: Map<string, PendingJoin>
  /** Notified when a host has requested to join, or a change of the membership was committed: the next change may start. */
  readonly membershipPending: Condition
  /** Result of the most recent sync, which completes after all earlier ones. */
  lastSync: Promise<boolean>
  /** Whether the storage has failed; after that nothing is written, and no response acknowledges a write. */
  hasStorageFailed: boolean
}

/**
 * Creates a replica from its saved log.
 * @param inputs - dependencies and settings of the replica
 * @param saved - the loaded log
 * @returns the core of the replica
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
    leaderSince: 0,
    termStartIndex: 0,
    readRound: 0,
    hasResigned: false,
    isExporting: false,
    isSnapshotInProgress: false,
    isInstalling: false,
    progress: new Map(),
    replicationPending: createCondition(clock),
    acknowledged: createCondition(clock),
    changed: createCondition(clock)
  }
  return { inputs, state, proposals: createPendingProposals(), peers: new Map(), pendingJoins: new Map(), membershipPending: createCondition(clock), lastSync: Promise.resolve(true), hasStorageFailed: false }
}

/**
 * Creates the failure of a replica that is not the leader.
 * @param state - the replica
 * @param step - the step that requires the leader
 * @returns the failure, with the leader's address when it is known
 */
export function createNotLeaderFailure (state: ReplicaState, step: Step): Failure {
  return createFailure(FailureReason.NotLeader, { step, peer: state.address, alternative: state.leaderAddress }, 'this replica is not the leader')
}

/**
 * Creates the failure of a request that is addressed to another identity.
 * @param state - the replica
 * @param step - the step that failed
 * @param to - the identity that the request is addressed to
 * @returns the failure
 */
export function createWrongIdentityFailure (state: ReplicaState, step: Step, to: string): Failure {
  return createFailure(FailureReason.Rejected, { step, peer: state.address }, `the request is for identity ${to}, this replica is ${state.identity}`)
}

/**
 * Creates the failure of a replica whose storage has failed.
 * @param state - the replica
 * @param step - the step that failed
 * @returns the failure
 */
export function createStorageFailure (state: ReplicaState, step: Step): Failure {
  return createFailure(FailureReason.Storage, { step, peer: state.address }, 'the storage of this replica has failed')
}

/**
 * Creates the failure of a replica that cannot write because its disk is full.
 * @param state - the replica
 * @param step - the step that needs to write
 * @returns the failure; nothing was written
 */
export function createDiskFullFailure (state: ReplicaState, step: Step): Failure {
  const origin = { step, peer: state.address, alternative: state.leaderAddress === state.address ? undefined : state.leaderAddress }
  return createFailure(FailureReason.DiskFull, origin, 'the disk of this control host is full; it writes again as soon as there is space')
}
