/**
 * The leader's registry of backend servers, maintained from their heartbeats, and the ordering of heartbeats.
 * @module
 */

/** Phase of a backend server: it accepts new requests, only completes its current ones, or was removed. */
export const ServerPhase = { Ready: 'ready', Leaving: 'leaving', Gone: 'gone' } as const
export type ServerPhase = typeof ServerPhase[keyof typeof ServerPhase]

/** A heartbeat of a backend server. */
export interface Heartbeat {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly availabilityZone: string
  /**
   * Version of the server's software; undefined if the server or a host of an earlier version of this program has not named it. What two versions
   * write does not fit together, so a stream continues only at a server of the version that began it.
   */
  readonly softwareVersion?: string | undefined
  /** Number of requests that the backend server runs concurrently. */
  readonly slots: number
  readonly leaving: boolean
  /** Time of day at which the backend server started, in milliseconds; 0 if it does not report one. */
  readonly startedAt: number
  /** Sequence number of the heartbeat within one start of the server. */
  readonly sequence: number
}

/** A registered backend server. */
export interface BackendServerRecord extends Heartbeat {
  readonly phase: ServerPhase
  /** Whether the server was withdrawn without any known start; `startedAt` is then the time of the withdrawal, before which it started. */
  readonly isStartUnknown?: true | undefined
  /** Revision of the registry at which this record last changed. */
  readonly revision: number
}

/** What a record holds apart from the state of the registry. */
type RegisteredContent = Heartbeat & Pick<BackendServerRecord, 'isStartUnknown'>

interface RegistryEntry {
  record: BackendServerRecord
  /** Monotonic time of the last heartbeat, in milliseconds. */
  lastContactAt: number
}

/** Retention time of the record of a removed server, in milliseconds, so that a late heartbeat does not register it again. */
export const goneRetentionMs = 60_000

/** The registry of backend servers. */
export interface BackendServerRegistry {
  /** Incremented when a record changes in more than its sequence number. */
  readonly revision: number
  /**
   * Applies a heartbeat.
   * @param heartbeat - the heartbeat
   * @param now - monotonic time in milliseconds
   * @returns whether it was newer than the registered one, and was applied
   */
  receive (heartbeat: Heartbeat, now: number): boolean
  /**
   * Adds a record that is already known, with its phase.
   * @param record - the record
   * @param now - monotonic time in milliseconds; counts as the last contact with the server
   */
  seed (record: BackendServerRecord, now: number): void
  /**
   * Marks one start of a server as leaving.
   * @param record - a record of that start
   * @param now - monotonic time in milliseconds
   */
  withdraw (record: BackendServerRecord, now: number): void
  /**
   * Records the withdrawal of a server of which nothing but the id is known, and perhaps the start. Its record is that of a removed server,
   * without an address.
   * @param id - id of the server
   * @param startedAt - time of day at which it started, or of the withdrawal if the start is not known, in milliseconds
   * @param isStartUnknown - whether the start is not known
   * @param now - monotonic time in milliseconds
   */
  withdrawUnregistered (id: string, startedAt: number, isStartUnknown: boolean, now: number): void
  /**
   * Marks servers without a heartbeat within the time limit as gone, and deletes records whose retention time is over.
   * @param now - monotonic time in milliseconds
   * @returns the records of the servers newly marked, as they were before
   */
  expire (now: number): BackendServerRecord[]
  /**
   * Lists the records changed after a revision.
   * @param revision - the last revision known to the caller
   * @returns the records with a later revision
   */
  listChangesSince (revision: number): BackendServerRecord[]
  /**
   * Finds a server, whatever its phase.
   * @param id - id of the server
   * @returns its record, or undefined when there is none
   */
  find (id: string): BackendServerRecord | undefined
  /** Removes all records and resets the revision. */
  clear (): void
}

/**
 * Creates an empty registry.
 * @param getHeartbeatTimeoutMs - returns the time without a heartbeat after which a server expires, in milliseconds
 * @returns the registry
 */
export function createBackendServerRegistry (getHeartbeatTimeoutMs: () => number): BackendServerRegistry {
  const entries = new Map<string, RegistryEntry>()
  let revision = 0

  function upsert (heartbeat: RegisteredContent, phase: ServerPhase, now: number): void {
    const known = entries.get(heartbeat.id)
    if (known !== undefined && known.record.phase === phase && hasSameContent(known.record, heartbeat)) {
      known.record = { ...known.record, sequence: heartbeat.sequence }
      known.lastContactAt = now
      return
    }
    revision++
    entries.set(heartbeat.id, { record: { ...heartbeat, phase, revision }, lastContactAt: now })
  }

  return {
    get revision () { return revision },
    receive (heartbeat, now) {
      const known = entries.get(heartbeat.id)
      if (known !== undefined && (!isNewer(heartbeat, known.record) || contradicts(heartbeat, known.record))) return false
      for (const { record } of entries.values()) {
        if (record.id === heartbeat.id || record.address !== heartbeat.address || record.phase === ServerPhase.Gone) continue
        // An address belongs to the server that started last; a late heartbeat of its predecessor is ignored.
        if (record.startedAt > heartbeat.startedAt) return false
        upsert(record, ServerPhase.Gone, now)
      }
      upsert(keepSoftwareVersion(heartbeat, known?.record), heartbeat.leaving ? ServerPhase.Leaving : ServerPhase.Ready, now)
      return true
    },
    seed: (record, now) => upsert(record, record.phase, now),
    withdraw (record, now) {
      // The server may still send heartbeats while it completes its requests; the infinite sequence number makes every
      // heartbeat of this start older than the withdrawal.
      const isRemoved = record.leaving && record.phase === ServerPhase.Gone
      upsert({ ...record, leaving: true, sequence: Infinity }, isRemoved ? ServerPhase.Gone : ServerPhase.Leaving, now)
    },
    withdrawUnregistered (id, startedAt, isStartUnknown, now) {
      const record = { id, service: '', address: '', availabilityZone: '', slots: 0, leaving: true, startedAt, sequence: Infinity }
      upsert(isStartUnknown ? { ...record, isStartUnknown } : record, ServerPhase.Gone, now)
    },
    expire (now) {
      const expired: BackendServerRecord[] = []
      for (const [id, { record, lastContactAt }] of entries) {
        if (record.phase === ServerPhase.Gone) {
          if (now - lastContactAt > goneRetentionMs) entries.delete(id)
        } else if (now - lastContactAt > getHeartbeatTimeoutMs()) {
          expired.push(record)
          upsert(record, ServerPhase.Gone, now)
        }
      }
      return expired
    },
    listChangesSince (knownRevision) {
      const records: BackendServerRecord[] = []
      for (const { record } of entries.values()) {
        if (record.revision > knownRevision) records.push(record)
      }
      return records
    },
    find: id => entries.get(id)?.record,
    clear () {
      entries.clear()
      revision = 0
    }
  }
}

/**
 * Compares two heartbeats of one server.
 * @param heartbeat - the heartbeat to check
 * @param known - the registered heartbeat
 * @returns whether the heartbeat is newer: a later start or, within the same start, a higher sequence number
 */
export function isNewer (heartbeat: Heartbeat, known: Heartbeat): boolean {
  if (heartbeat.startedAt !== known.startedAt) return heartbeat.startedAt > known.startedAt
  return heartbeat.sequence > known.sequence
}

// A server keeps its service, its address and its software until it restarts, so another writer sent a heartbeat with the same start and others.
function contradicts (heartbeat: Heartbeat, known: BackendServerRecord): boolean {
  if (known.phase === ServerPhase.Gone || heartbeat.startedAt !== known.startedAt) return false
  const hasOtherSoftware = heartbeat.softwareVersion !== undefined && known.softwareVersion !== undefined && heartbeat.softwareVersion !== known.softwareVersion
  return heartbeat.service !== known.service || heartbeat.address !== known.address || (heartbeat.startedAt > 0 && hasOtherSoftware)
}

/**
 * Adds the known software version to a heartbeat of the same start that names none: a control host of an earlier version of this program
 * forwards heartbeats without it.
 * @param heartbeat - the heartbeat or record
 * @param known - the known record of the server; undefined if there is none
 * @returns the heartbeat, with the known software version if it names none
 */
export function keepSoftwareVersion<T extends Heartbeat> (heartbeat: T, known: BackendServerRecord | undefined): T {
  if (heartbeat.softwareVersion !== undefined || heartbeat.startedAt === 0 || known?.startedAt !== heartbeat.startedAt) return heartbeat
  return { ...heartbeat, softwareVersion: known.softwareVersion }
}

function hasSameContent (left: RegisteredContent, right: RegisteredContent): boolean {
  return left.service === right.service && left.address === right.address && left.slots === right.slots &&
    left.startedAt === right.startedAt && left.isStartUnknown === right.isStartUnknown && left.availabilityZone === right.availabilityZone && left.softwareVersion === right.softwareVersion
}
