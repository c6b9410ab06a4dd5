/**
 * Messages between replicas, and the transport that carries them.
 * @module
 */
import type { ResultAsync } from 'neverthrow'
import type { Failure } from '../program/failure.ts'
import type { Entry, Member } from './storage.ts'

/** Asks for a vote, or, with `preVote`, whether a vote would be given. */
export interface VoteRequest {
  /** Identity that the request is meant for. */
  readonly to: string
  readonly term: number
  readonly candidate: string
  readonly lastIndex: number
  readonly lastTerm: number
  readonly preVote: boolean
}

/** Answer to a vote request. */
export interface VoteResponse {
  readonly term: number
  readonly granted: boolean
}

/** Entries, or a heartbeat when there are none. */
export interface AppendRequest {
  /** Identity that the request is meant for. */
  readonly to: string
  readonly term: number
  readonly leader: string
  readonly leaderAddress: string
  readonly previousIndex: number
  readonly previousTerm: number
  readonly entries: readonly Entry[]
  readonly commitIndex: number
  /** Present in the last message of a leader that ends its leadership: who shall lead next. */
  readonly successor?: string | undefined
}

/** Answer to an append request. */
export interface AppendResponse {
  readonly term: number
  readonly accepted: boolean
  /** When accepted the last index that matches; otherwise the index to try next as the previous one. */
  readonly index: number
}

/** A piece of a snapshot. */
export interface SnapshotRequest {
  /** Identity that the request is meant for. */
  readonly to: string
  readonly term: number
  readonly leaderAddress: string
  /** Index that the snapshot stands for. */
  readonly index: number
  /** Offset of the piece in the snapshot, in bytes. */
  readonly offset: number
  /** The piece, in base64. */
  readonly bytes: string
  /** Whether the snapshot ends with this piece. */
  readonly last: boolean
}

/** Answer to a piece of a snapshot. */
export interface SnapshotResponse {
  readonly term: number
  /** Bytes received in order; the next piece starts there. */
  readonly received: number
  /** Whether the replica has everything up to the index of the snapshot. */
  readonly installed: boolean
}

/** A control host with an empty data folder asks to become a member. */
export interface JoinRequest {
  readonly identity: string
  readonly address: string
  readonly availabilityZone: string
}

/** Answer to a request to join. */
export interface JoinResponse {
  /** Whether the leader will add the host. */
  readonly accepted: boolean
}

/** Who a control host is. */
export interface Identification {
  readonly identity: string
  readonly address: string
  readonly availabilityZone: string
  /** Whether the replica has a membership. */
  readonly formed: boolean
  readonly leaderAddress: string | undefined
}

/** Carries messages to another replica. */
export abstract class Transport {
  /**
   * Asks for a vote.
   * @param address - internal address of the replica
   * @param request - the request
   * @returns the answer, or a failure
   */
  abstract vote (address: string, request: VoteRequest): ResultAsync<VoteResponse, Failure>

  /**
   * Sends entries or a heartbeat.
   * @param address - internal address of the replica
   * @param request - the request
   * @returns the answer, or a failure
   */
  abstract append (address: string, request: AppendRequest): ResultAsync<AppendResponse, Failure>

  /**
   * Asks a control host who it is.
   * @param address - internal address of the control host
   * @returns its identification, or a failure
   */
  abstract identify (address: string): ResultAsync<Identification, Failure>

  /**
   * Sends the first membership.
   * @param address - internal address of the replica
   * @param members - the members
   * @returns whether the replica took it, or a failure
   */
  abstract form (address: string, members: readonly Member[]): ResultAsync<boolean, Failure>

  /**
   * Sends a piece of a snapshot.
   * @param address - internal address of the replica
   * @param request - the piece
   * @returns the answer, or a failure
   */
  abstract snapshot (address: string, request: SnapshotRequest): ResultAsync<SnapshotResponse, Failure>

  /**
   * Asks the leader to become a member.
   * @param address - internal address of a control host
   * @param request - the host that asks
   * @returns the answer, or a failure that names the leader
   */
  abstract join (address: string, request: JoinRequest): ResultAsync<JoinResponse, Failure>
}
