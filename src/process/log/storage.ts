/**
 * What a replica writes to its data folder.
 * @module
 */
import type { ResultAsync } from 'neverthrow'
import type { Command } from '../state/commands.ts'
import type { Failure } from '../program/failure.ts'
import type { StateChunk } from '../state/stateSnapshot.ts'

/** Standing of a member of the log. */
export const Standing = { Voter: 'voter', Learner: 'learner' } as const
export type Standing = typeof Standing[keyof typeof Standing]

/** A member of the log. */
export interface Member {
  /** Random; made when the member's data folder was formatted. */
  readonly identity: string
  /** Internal address, as IP number and port. */
  readonly address: string
  readonly availabilityZone: string
  readonly standing: Standing
}

/** Kinds of payload. */
export const PayloadKind = { NoOp: 'nothing', Command: 'command', Members: 'members' } as const
export type PayloadKind = typeof PayloadKind[keyof typeof PayloadKind]

/** What a log entry carries. */
export type Payload =
  | { readonly kind: typeof PayloadKind.NoOp }
  | { readonly kind: typeof PayloadKind.Command, readonly command: Command }
  | { readonly kind: typeof PayloadKind.Members, readonly members: readonly Member[] }

/** One entry of the replicated log. */
export interface Entry {
  readonly index: number
  readonly term: number
  readonly payload: Payload
}

/** Kinds of record in the log files. */
export const RecordKind = { Segment: 'segment', Entry: 'entry', Vote: 'vote', Truncation: 'truncation' } as const
export type RecordKind = typeof RecordKind[keyof typeof RecordKind]

/** One record that a replica appends. */
export type StoredRecord =
  | { readonly kind: typeof RecordKind.Entry, readonly entry: Entry }
  | { readonly kind: typeof RecordKind.Vote, readonly term: number, readonly votedFor: string | undefined }
  | { readonly kind: typeof RecordKind.Truncation, readonly from: number }

/** The point of the log that a snapshot stands for. */
export interface SnapshotPoint {
  /** Index of the last entry that the snapshot contains. */
  readonly index: number
  readonly term: number
  /** The membership at that point. */
  readonly members: readonly Member[]
}

/** The point before the first entry. */
export const emptyPoint: SnapshotPoint = { index: 0, term: 0, members: [] }

/** A snapshot read back. */
export interface Snapshot {
  readonly point: SnapshotPoint
  readonly parts: readonly StateChunk[]
}

/** A piece of a snapshot file. */
export interface SnapshotChunk {
  readonly point: SnapshotPoint
  readonly offset: number
  readonly bytes: Buffer
  /** Whether the file ends with this piece. */
  readonly last: boolean
}

/** What a data folder holds. */
export interface SavedLog {
  readonly identity: string
  readonly term: number
  readonly votedFor: string | undefined
  readonly snapshot: Snapshot | undefined
  /** Entries after the snapshot. */
  readonly entries: readonly Entry[]
}

/** Durable storage of one replica. After a failure no later write succeeds. */
export abstract class Storage {
  /**
   * Reads everything back, and formats an empty data folder under a new identity.
   * @returns the saved log, or a failure when it is damaged or belongs to another host
   */
  abstract load (): ResultAsync<SavedLog, Failure>

  /**
   * Appends records in the order of the calls. Concurrent calls share one sync.
   * @param records - the records
   * @returns nothing once the records are synced
   */
  abstract append (records: readonly StoredRecord[]): ResultAsync<void, Failure>

  /**
   * Writes a snapshot and removes the part of the log that it replaces, once the snapshot is durable.
   * @param point - what the snapshot stands for
   * @param parts - encoded parts of the state
   * @param kept - vote and entries after the point, as known at the time of the call
   * @returns nothing once the snapshot is in place
   */
  abstract saveSnapshot (point: SnapshotPoint, parts: readonly Buffer[], kept: readonly StoredRecord[]): ResultAsync<void, Failure>

  /**
   * Reads a piece of the newest snapshot.
   * @param offset - first byte
   * @returns the piece, or a failure when there is no snapshot
   */
  abstract readChunk (offset: number): ResultAsync<SnapshotChunk, Failure>

  /**
   * Takes a piece of another replica's snapshot. Offset 0 starts over.
   * @param offset - first byte
   * @param bytes - the piece
   * @returns how many bytes have been received in order
   */
  abstract receiveChunk (offset: number, bytes: Buffer): ResultAsync<number, Failure>

  /**
   * Reads the received snapshot and checks that it is whole.
   * @returns the snapshot
   */
  abstract readReceived (): ResultAsync<Snapshot, Failure>

  /**
   * Puts the received snapshot in place of the own one and removes the part of the log that it replaces.
   * @param point - what the snapshot stands for
   * @param kept - vote and entries after the point
   * @returns nothing once the snapshot is in place
   */
  abstract installReceived (point: SnapshotPoint, kept: readonly StoredRecord[]): ResultAsync<void, Failure>

  /**
   * Closes the files after the writes under way.
   * @returns a promise that resolves when closed
   */
  abstract close (): Promise<void>
}
