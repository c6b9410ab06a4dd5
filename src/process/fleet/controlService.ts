/**
 * What a control host does with the calls of operators, backend servers and callers in search of a gateway; a front end
 * decodes the calls and encodes the answers.
 * @module
 */
import type { Result } from 'neverthrow'
import type { Publication } from '../../version/gatewayTables.ts'
import type { Problem } from '../../version/validation.ts'
import type { Failure } from '../program/failure.ts'
import type { Heartbeat } from './backendServerRegistry.ts'

/** Kinds of answer to a publication. */
export const PublicationEnd = { Accepted: 'accepted', Conflict: 'conflict', Unknown: 'unknown' } as const
export type PublicationEnd = typeof PublicationEnd[keyof typeof PublicationEnd]

/** Kinds of answer to the wish to empty a host. */
export const RetirementEnd = { Accepted: 'accepted', UnknownHost: 'unknown host', TooFew: 'too few', NotReady: 'not ready' } as const
export type RetirementEnd = typeof RetirementEnd[keyof typeof RetirementEnd]

/** The calls. */
export interface ControlService {
  publish (publication: Publication): Promise<PublicationEnd>
  logRefusedPublication (problems: readonly Problem[]): void
  /** The newest document; undefined value when there is none yet. */
  publication (): Promise<Result<string | undefined, Failure>>
  receiveHeartbeat (heartbeat: Heartbeat): Promise<Result<boolean, Failure>>
  logIgnoredHeartbeat (id: string): void
  withdraw (id: string): Promise<Result<boolean, Failure>>
  gateways (availabilityZone: string, region: string): string[]
  /** How long a caller may keep an answer, in milliseconds. */
  readonly addressKeepMs: number
  retire (host: string): RetirementEnd
  isRetired (host: string): boolean | undefined
}
