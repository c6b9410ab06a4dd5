/**
 * Checks whether a heartbeat can be one of a backend server. Other writers use the same path, and a heartbeat of theirs must not
 * displace a server or make its later heartbeats look old.
 * @module
 */
import type { Service } from '../../version/gatewayTables.ts'
import { type BackendServerRecord, type Heartbeat, ServerPhase } from './backendServerRegistry.ts'

/** Maximum length of the id, the service, the availability zone and the software version, in characters. */
const maxNameLength = 256

/** Maximum number of requests that one backend server runs concurrently. */
const maxSlots = 65_536

/** Time by which the clock of a backend server may be ahead of the clock of this host, in milliseconds. */
const maxClockDifferenceMs = 600_000

/** Names that can be sent in a header: printable characters of ASCII without spaces. */
const headerSafeName = /^[\u0021-\u007e]+$/

/** What this host knows, against which a heartbeat is checked. */
export interface HeartbeatContext {
  /** Wall-clock time, in milliseconds since the epoch. */
  readonly wallTime: number
  /** Services of the active tables; undefined before the first tables. */
  readonly services: readonly Service[] | undefined
  /** The known backend servers, whatever their phase. */
  readonly servers: readonly BackendServerRecord[]
}

/**
 * Checks a heartbeat.
 * @param heartbeat - the heartbeat
 * @param context - what this host knows
 * @returns why it can't be one of a backend server, or undefined when it can
 */
export function findHeartbeatProblem (heartbeat: Heartbeat, context: HeartbeatContext): string | undefined {
  const { id, service, availabilityZone, softwareVersion = '', slots, startedAt } = heartbeat
  if (id.length > maxNameLength || !headerSafeName.test(id)) return 'the id can\'t be sent in a header'
  if (service.length > maxNameLength || availabilityZone.length > maxNameLength || softwareVersion.length > maxNameLength) return 'a name is too long'
  if (slots > maxSlots) return 'too many slots'
  if (startedAt < 0 || startedAt > context.wallTime + maxClockDifferenceMs) return 'started in the future, or before the epoch'
  if (!isCount(heartbeat, context.wallTime)) return 'the sequence number is no count of heartbeats'
  if (displacesServer(heartbeat, context)) return 'a server of another service has this id or address'
  return undefined
}

// A server sends less than one heartbeat per millisecond, whatever its heartbeat interval.
function isCount ({ startedAt, sequence }: Heartbeat, wallTime: number): boolean {
  return Number.isSafeInteger(sequence) && sequence >= 0 && sequence <= wallTime + maxClockDifferenceMs - startedAt
}

// A service that the tables do not name has no servers, so its heartbeat must not end the registration of one.
function displacesServer ({ id, service, address }: Heartbeat, { services, servers }: HeartbeatContext): boolean {
  if (services === undefined || services.some(({ name }) => name === service)) return false
  return servers.some(server => server.phase !== ServerPhase.Gone && server.service !== service && (server.id === id || server.address === address))
}
