/**
 * Records that a replica stores, and the abstract storage that holds them.
 * @module
 */
import type { ResultAsync } from 'neverthrow'
import type { Command } from '../state/commands.ts'
import type { Failure } from '../program/failure.ts'
import type { StateChunk } from '../state/stateSnapshot.ts'

/** Standing of a member: voters count for majorities, learners only receive the log. */
export const Standing = { Voter: 'voter', Learner: 'learner' } as const
export type Standing = typeof Standing[keyof typeof Standing]

/** A member of the replicated log. */
export interface Member {
  /** Random identity, generated when the data folder of the member was formatted. */
  readonly identity: string
  /** Internal address, as IP address and port. */
  readonly address: string
  readonly availabilityZone: string
  readonly standing: Standing
}

/** Kinds of payload of a log entry. */
export const PayloadKind = { NoOp: 'nothing', Command: 'command', Members: 'members' } as const
export type PayloadKind = typeof PayloadKind[keyof typeof PayloadKind]

/** Payload of a log entry. */
export type Payload =
  | { readonly kind: typeof PayloadKind.NoOp }
  | { readonly kind: typeof PayloadKind.Command, readonly command: Command }
  | { readonly kind: typeof PayloadKind.Members, readonly members: readonly Member[] }

/** An entry of the replicated log. */
export interface Entry {
  readonly index: number
  readonly term: number
  readonly payload: Payload
}

/** Kinds of record in the segments of the log. */
export const RecordKind = { Segment: 'segment', Entry: 'entry', Vote: 'vote', Truncation: 'truncation' } as const
export type RecordKind = typeof RecordKind[keyof typeof RecordKind]

/** A record that a replica appends to its log. */
export type StoredRecord =
  | { readonly kind: typeof RecordKind.Entry, readonly entry: Entry }
  | { readonly kind: typeof RecordKind.Vote, readonly term: number, readonly votedFor: string | undefined }
  | { readonly kind: typeof RecordKind.Truncation, readonly from: number }

/** The point of the log that a snapshot represents. */
export interface SnapshotPoint {
  /** Index of the last entry that the snapshot contains. */
  readonly index: number
  readonly term: number
  /** The membership at that point. */
  readonly members: readonly Member[]
}

/** The point before the first entry. */
export const emptyPoint: SnapshotPoint = { index: 0, term: 0, members: [] }

/** A snapshot as read from storage. */
export interface Snapshot {
  readonly point: SnapshotPoint
  readonly parts: readonly StateChunk[]
}

/** A chunk of a snapshot file. */
export interface SnapshotChunk {
  readonly point: SnapshotPoint
  readonly offset: number
  readonly bytes: Buffer
  /** Whether this is the last chunk. */
  readonly last: boolean
}

/** Content of a data folder. */
export interface SavedLog {
  readonly identity: string
  readonly term: number
  readonly votedFor: string | undefined
  readonly snapshot: Snapshot | undefined
  /** Entries after the snapshot. */
  readonly entries: readonly Entry[]
}

/**
 * Durable storage of one replica. After a failed write to the log no later one succeeds. A write for which the disk has no free space
 * does not fail, but waits.
 */
export abstract class Storage {
  /** Whether the disk has free space, as far as the latest write shows; while it has none, writes wait. */
  abstract get hasSpace (): boolean

  /**
   * Loads the saved log, or formats an empty data folder with a new identity.
   * @returns the saved log, or a failure when it is damaged or belongs to another host
   */
  abstract load (): ResultAsync<SavedLog, Failure>

  /**
   * Appends records in the order of the calls. Concurrent calls may share one sync.
   * @param records - the records
   * @returns nothing once the records are synced, or a failure
   */
  abstract append (records: readonly StoredRecord[]): ResultAsync<void, Failure>

  /**
   * Writes a snapshot and, once it is durable, removes the part of the log that it replaces.
   * @param point - the point of the log that the snapshot represents
   * @param stateChunks - encoded chunks of the exported state machine
   * @param retained - term, vote and the entries after the point, as of the call
   * @returns nothing once the snapshot is durable, or a failure
   */
  abstract saveSnapshot (point: SnapshotPoint, stateChunks: Iterable<Buffer>, retained: readonly StoredRecord[]): ResultAsync<void, Failure>

  /**
   * Reads a chunk of the newest snapshot.
   * @param offset - offset of the chunk, in bytes
   * @returns the chunk, whose size the storage chooses, or a failure when there is no snapshot
   */
  abstract readChunk (offset: number): ResultAsync<SnapshotChunk, Failure>

  /**
   * Receives a chunk of another replica's snapshot. Offset 0 restarts the transfer; a chunk that does not follow
   * the bytes received so far is ignored.
   * @param offset - offset of the chunk, in bytes
   * @param bytes - the chunk
   * @returns the number of contiguous bytes received so far, or a failure
   */
  abstract receiveChunk (offset: number, bytes: Buffer): ResultAsync<number, Failure>

  /**
   * Reads the received snapshot.
   * @returns the snapshot, or a failure when it is damaged or incomplete
   */
  abstract readReceived (): ResultAsync<Snapshot, Failure>

  /**
   * Replaces the own snapshot by the received one and removes the part of the log that it replaces.
   * @param point - the point of the log that the snapshot represents
   * @param retained - term, vote and the entries to retain after the point
   * @returns nothing once the snapshot is durable, or a failure
   */
  abstract installReceived (point: SnapshotPoint, retained: readonly StoredRecord[]): ResultAsync<void, Failure>

  /**
   * Closes the files after the writes in progress.
   * @returns a promise that resolves when closed
   */
  abstract close (): Promise<void>
}
