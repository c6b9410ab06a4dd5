/**
 * The operations that a control host offers to operators, to backend servers and to callers that look up a gateway. A front
 * end decodes the requests and encodes the responses.
 * @module
 */
import type { Result } from 'neverthrow'
import type { Publication } from '../../version/gatewayTables.ts'
import type { Problem } from '../../version/validation.ts'
import type { Failure } from '../program/failure.ts'
import type { Heartbeat } from './backendServerRegistry.ts'

/** Result of a publication. */
export const PublicationResult = { Accepted: 'accepted', Conflict: 'conflict', Unknown: 'unknown' } as const
export type PublicationResult = typeof PublicationResult[keyof typeof PublicationResult]

/** Result of a request to retire a host. */
export const RetirementResult = { Accepted: 'accepted', UnknownHost: 'unknown host', TooFew: 'too few', NotReady: 'not ready' } as const
export type RetirementResult = typeof RetirementResult[keyof typeof RetirementResult]

/** Operations of a control host. */
export interface ControlService {
  /**
   * Commits tables to the replicated log.
   * @param publication - the tables and their document
   * @returns the result; `Conflict` when the active version has other content, `Unknown` when the outcome of the commit is not known
   */
  publish (publication: Publication): Promise<PublicationResult>
  /**
   * Logs that a document was rejected before its publication.
   * @param problems - the problems found
   */
  logRefusedPublication (problems: readonly Problem[]): void
  /**
   * Reads the latest published document. Calls that wait at the same time share the bytes.
   * @returns the document in UTF-8, undefined before the first publication, or the failure of the read
   */
  publication (): Promise<Result<Buffer<ArrayBuffer> | undefined, Failure>>
  /**
   * Forwards a heartbeat to the leader, unless it can't be one of a backend server.
   * @param heartbeat - the heartbeat
   * @returns whether it was newer than the registered one, or the failure of the call
   */
  receiveHeartbeat (heartbeat: Heartbeat): Promise<Result<boolean, Failure>>
  /**
   * Logs a heartbeat that could not be decoded.
   * @param id - id of the backend server, from the request path
   */
  logIgnoredHeartbeat (id: string): void
  /**
   * Notifies the leader that a backend server leaves.
   * @param id - id of the backend server
   * @param disconnected - aborts when the backend server closes the connection of its call
   * @returns true once every host that may send it requests has confirmed, or the failure of the call
   */
  withdraw (id: string, disconnected: AbortSignal): Promise<Result<boolean, Failure>>
  /**
   * Lists gateways for a caller.
   * @param availabilityZone - availability zone of the caller
   * @param region - region of the caller
   * @returns the caller addresses of the gateways; empty while none is known to be ready
   */
  listGateways (availabilityZone: string, region: string): string[]
  /** Time for which a caller may cache the list of gateways, in milliseconds. */
  readonly addressKeepMs: number
  /**
   * Checks whether a host may be retired, and changes nothing; only an executor may be.
   * @param host - name of the host
   * @returns `Accepted`, or why the host may not be retired
   */
  checkRetirement (host: string): RetirementResult
  /**
   * Checks whether the retirement of a host is complete.
   * @param host - name of the host
   * @returns true for any executor, since it can be stopped at any time; undefined for any other host
   */
  isRetired (host: string): boolean | undefined
}
