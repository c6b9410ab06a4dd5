/**
 * What a replica writes to its data folder.
 * @module
 */
import type { ResultAsync } from 'neverthrow'
import type { Command } from './commands.ts'
import type { Failure } from './failure.ts'

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
export const PayloadKind = { Nothing: 'nothing', Command: 'command', Members: 'members' } as const
export type PayloadKind = typeof PayloadKind[keyof typeof PayloadKind]

/** What a log entry carries. */
export type Payload =
  | { readonly kind: typeof PayloadKind.Nothing }
  | { readonly kind: typeof PayloadKind.Command, readonly command: Command }
  | { readonly kind: typeof PayloadKind.Members, readonly members: readonly Member[] }

/** One entry of the replicated log. */
export interface Entry {
  readonly index: number
  readonly term: number
  readonly payload: Payload
}

/** Kinds of record in the data folder. */
export const RecordKind = { Entry: 'entry', Vote: 'vote', Truncation: 'truncation' } as const
export type RecordKind = typeof RecordKind[keyof typeof RecordKind]

/** One record in the data folder. */
export type StoredRecord =
  | { readonly kind: typeof RecordKind.Entry, readonly entry: Entry }
  | { readonly kind: typeof RecordKind.Vote, readonly term: number, readonly votedFor: string | undefined }
  | { readonly kind: typeof RecordKind.Truncation, readonly from: number }

/** What a data folder holds. */
export interface SavedLog {
  readonly identity: string
  readonly term: number
  readonly votedFor: string | undefined
  readonly entries: readonly Entry[]
}

/** Durable storage of one replica. */
export abstract class Storage {
  /**
   * Reads everything back, and formats an empty data folder under a new identity.
   * @returns the saved log, or a failure when it is damaged or belongs to another host
   */
  abstract load (): ResultAsync<SavedLog, Failure>

  /**
   * Appends records in the order of the calls. Concurrent calls share one sync.
   * @param records - the records
   * @returns nothing once the records are synced; after a failure no later call succeeds
   */
  abstract append (records: readonly StoredRecord[]): ResultAsync<void, Failure>

  /**
   * Closes the files after the appends under way.
   * @returns a promise that resolves when closed
   */
  abstract close (): Promise<void>
}
