/**
 * Messages between replicas, and the transport that carries them.
 * @module
 */
import type { ResultAsync } from 'neverthrow'
import type { Failure } from '../program/failure.ts'
import { countEntryBytes } from './replicaLog.ts'
import type { Entry, Member } from './storage.ts'

/** Requests a vote, or, with `preVote`, whether a vote would be granted. */
export interface VoteRequest {
  /** Identity that the request is meant for. */
  readonly to: string
  readonly term: number
  /** Identity of the candidate. */
  readonly candidate: string
  readonly lastIndex: number
  readonly lastTerm: number
  readonly preVote: boolean
}

/** Response to a vote request. */
export interface VoteResponse {
  readonly term: number
  readonly granted: boolean
}

/** Replicates entries. Without entries it has the effect of a heartbeat. */
export interface AppendRequest {
  /** Identity that the request is meant for. */
  readonly to: string
  readonly term: number
  /** Identity of the leader. */
  readonly leader: string
  readonly leaderAddress: string
  /** Index of the entry that precedes the entries. */
  readonly previousIndex: number
  readonly previousTerm: number
  readonly entries: readonly Entry[]
  readonly commitIndex: number
  /** Identity of the voter that is to become leader; present only in the last request of a leader that steps down. */
  readonly successor?: string | undefined
}

/** Response to an append request. */
export interface AppendResponse {
  readonly term: number
  readonly accepted: boolean
  /** If accepted, the last index that matches the log of the leader; otherwise the next `previousIndex` to try. */
  readonly index: number
}

/**
 * Keeps the contact between a leader and a follower while a request with entries or a chunk of a snapshot is in transit.
 * It has a connection of its own, and its response does not depend on the disk of the follower.
 */
export interface HeartbeatRequest {
  /** Identity that the request is meant for. */
  readonly to: string
  readonly term: number
  readonly leaderAddress: string
  /** Last index up to which the follower has confirmed the leader's log in this term. */
  readonly matchIndex: number
  readonly commitIndex: number
}

/** Response to a heartbeat. */
export interface HeartbeatResponse {
  readonly term: number
}

/** Carries a chunk of a snapshot. */
export interface SnapshotRequest {
  /** Identity that the request is meant for. */
  readonly to: string
  readonly term: number
  readonly leaderAddress: string
  /** Index of the last entry that the snapshot contains. */
  readonly index: number
  /** Offset of the chunk in the snapshot, in bytes. */
  readonly offset: number
  /** The chunk; in base64 from a leader of the version before. */
  readonly bytes: Uint8Array | string
  /** Whether this is the last chunk. */
  readonly last: boolean
}

/** Response to a chunk of a snapshot. */
export interface SnapshotResponse {
  readonly term: number
  /** Contiguous bytes received so far, which is the offset of the next chunk. */
  readonly received: number
  /** Whether the replica has committed everything up to the index of the snapshot. */
  readonly installed: boolean
}

/** Requests that a control host becomes a member. */
export interface JoinRequest {
  readonly identity: string
  readonly address: string
  readonly availabilityZone: string
}

/** Response to a join request. */
export interface JoinResponse {
  /** Whether the leader will add the host. */
  readonly accepted: boolean
}

/** Identity and membership state of a control host. */
export interface Identification {
  readonly identity: string
  readonly address: string
  readonly availabilityZone: string
  /** Whether the replica has a membership. */
  readonly formed: boolean
  readonly leaderAddress: string | undefined
}

/** Transport of messages to other replicas. */
export abstract class Transport {
  /**
   * Requests a vote.
   * @param address - internal address of the replica
   * @param request - the request
   * @returns the response, or a failure
   */
  abstract vote (address: string, request: VoteRequest): ResultAsync<VoteResponse, Failure>

  /**
   * Estimates how many bytes an entry takes in a request.
   * @param entry - the entry
   * @returns the size, in bytes
   */
  estimateBytes (entry: Entry): number {
    return countEntryBytes(entry)
  }

  /**
   * Sends entries.
   * @param address - internal address of the replica
   * @param request - the request
   * @returns the response, or a failure
   */
  abstract append (address: string, request: AppendRequest): ResultAsync<AppendResponse, Failure>

  /**
   * Sends a heartbeat.
   * @param address - internal address of the replica
   * @param request - the request
   * @returns the response, or a failure
   */
  abstract heartbeat (address: string, request: HeartbeatRequest): ResultAsync<HeartbeatResponse, Failure>

  /**
   * Requests an index for a read at this replica.
   * @param address - internal address of the leader
   * @returns the index of the log that the read must include, confirmed by a majority, or a failure
   */
  abstract readIndex (address: string): ResultAsync<number, Failure>

  /**
   * Queries the identification of a control host.
   * @param address - internal address of the control host
   * @returns its identification, or a failure
   */
  abstract identify (address: string): ResultAsync<Identification, Failure>

  /**
   * Sends the first membership.
   * @param address - internal address of the replica
   * @param members - the members
   * @returns whether the replica adopted it, or a failure
   */
  abstract form (address: string, members: readonly Member[]): ResultAsync<boolean, Failure>

  /**
   * Sends a chunk of a snapshot.
   * @param address - internal address of the replica
   * @param request - the chunk
   * @returns the response, or a failure
   */
  abstract snapshot (address: string, request: SnapshotRequest): ResultAsync<SnapshotResponse, Failure>

  /**
   * Requests to become a member.
   * @param address - internal address of a control host
   * @param request - the request
   * @returns the response, or a failure that names the leader
   */
  abstract join (address: string, request: JoinRequest): ResultAsync<JoinResponse, Failure>
}
