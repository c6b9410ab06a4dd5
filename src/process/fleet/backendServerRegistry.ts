/**
 * What the leader knows of the backend servers from their heartbeats, and the decisions about a heartbeat.
 * @module
 */

/** Whether a backend server takes new requests. */
export const ServerPhase = { Ready: 'ready', Leaving: 'leaving', Gone: 'gone' } as const
export type ServerPhase = typeof ServerPhase[keyof typeof ServerPhase]

/** A heartbeat of a backend server. */
export interface Heartbeat {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly availabilityZone: string
  readonly slots: number
  readonly leaving: boolean
  /** Time of day of the backend server's start, in milliseconds; 0 when it is not told. */
  readonly startedAt: number
  /** Grows with each heartbeat of one start. */
  readonly sequence: number
}

/** A backend server as the leader knows it. */
export interface BackendServerRecord extends Heartbeat {
  readonly phase: ServerPhase
  /** Revision of the registry with which this record changed. */
  readonly revision: number
}

interface RegistryEntry {
  record: BackendServerRecord
  /** Monotonic time of the last heartbeat, in milliseconds. */
  heardAt: number
}

/** How long the record of a server that is gone is kept, so that a late heartbeat does not bring it back, in milliseconds. */
const goneKeepMs = 60_000

/** The backend servers that the leader knows. */
export interface BackendServerRegistry {
  readonly revision: number
  /**
   * Takes a heartbeat.
   * @param heartbeat - the heartbeat
   * @param now - monotonic time in milliseconds
   * @returns whether it was newer than what was known
   */
  receive (heartbeat: Heartbeat, now: number): boolean
  /**
   * Takes a record that was known before, with its phase.
   * @param record - the record
   * @param now - monotonic time in milliseconds; the server counts as heard then
   */
  seed (record: BackendServerRecord, now: number): void
  /**
   * Takes a server out that says that it leaves.
   * @param id - the server
   * @param now - monotonic time in milliseconds
   */
  withdraw (id: string, now: number): void
  /**
   * Drops servers that have been silent.
   * @param now - monotonic time in milliseconds
   * @returns the servers that are gone now
   */
  expire (now: number): BackendServerRecord[]
  /**
   * Lists records that changed.
   * @param revision - the last revision known
   * @returns the records with a later one
   */
  listChangesSince (revision: number): BackendServerRecord[]
  find (id: string): BackendServerRecord | undefined
  /** Forgets everything. */
  clear (): void
}

/**
 * Creates an empty registry.
 * @param silenceMs - tells how long a server may be silent, in milliseconds
 * @returns the registry
 */
export function createBackendServerRegistry (silenceMs: () => number): BackendServerRegistry {
  const entries = new Map<string, RegistryEntry>()
  let revision = 0

  function put (heartbeat: Heartbeat, phase: ServerPhase, now: number): void {
    const known = entries.get(heartbeat.id)
    if (known !== undefined && known.record.phase === phase && isSameContent(known.record, heartbeat)) {
      known.record = { ...known.record, sequence: heartbeat.sequence }
      known.heardAt = now
      return
    }
    revision++
    entries.set(heartbeat.id, { record: { ...heartbeat, phase, revision }, heardAt: now })
  }

  return {
    get revision () { return revision },
    receive (heartbeat, now) {
      const known = entries.get(heartbeat.id)
      if (known !== undefined && !isNewer(heartbeat, known.record)) return false
      for (const { record } of entries.values()) {
        if (record.id === heartbeat.id || record.address !== heartbeat.address || record.phase === ServerPhase.Gone) continue
        // The address belongs to the server that started last; a late heartbeat of the one before does not count.
        if (record.startedAt > heartbeat.startedAt) return false
        put(record, ServerPhase.Gone, now)
      }
      put(heartbeat, heartbeat.leaving ? ServerPhase.Leaving : ServerPhase.Ready, now)
      return true
    },
    seed: (record, now) => put(record, record.phase, now),
    withdraw (id, now) {
      const known = entries.get(id)
      if (known === undefined) return
      // The server may serve what it has for a while, but every heartbeat of this start is older than its withdrawal.
      put({ ...known.record, leaving: true, sequence: Infinity }, ServerPhase.Leaving, now)
    },
    expire (now) {
      const gone: BackendServerRecord[] = []
      for (const [id, { record, heardAt }] of entries) {
        if (record.phase === ServerPhase.Gone) {
          if (now - heardAt > goneKeepMs) entries.delete(id)
        } else if (now - heardAt > silenceMs()) {
          gone.push(record)
          put(record, ServerPhase.Gone, now)
        }
      }
      return gone
    },
    listChangesSince (known) {
      const records: BackendServerRecord[] = []
      for (const { record } of entries.values()) {
        if (record.revision > known) records.push(record)
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
 * Decides which of two heartbeats of one server is newer.
 * @param heartbeat - a heartbeat
 * @param known - what is known
 * @returns whether the heartbeat is newer: a later start, or within one start a higher sequence number
 */
export function isNewer (heartbeat: Heartbeat, known: Heartbeat): boolean {
  if (heartbeat.startedAt !== known.startedAt) return heartbeat.startedAt > known.startedAt
  return heartbeat.sequence > known.sequence
}

function isSameContent (left: Heartbeat, right: Heartbeat): boolean {
  return left.service === right.service && left.address === right.address && left.slots === right.slots &&
    left.startedAt === right.startedAt && left.availabilityZone === right.availabilityZone
}
