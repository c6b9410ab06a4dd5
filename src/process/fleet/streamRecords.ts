/**
 * Records of which service and software version began a stream, and a bounded store of them.
 * @module
 */
import { randomUUID } from 'node:crypto'
import type { Clock } from '../program/clock.ts'

/** What wrote the first event of a stream. Only servers of the same service and software version may continue it. */
export interface StreamOrigin {
  readonly service: string
  /** Undefined if the version is not known; then no server may continue the stream. */
  readonly softwareVersion: string | undefined
}

/** An origin that is known in full. */
export interface KnownOrigin extends StreamOrigin {
  readonly softwareVersion: string
}

/** The origin of one stream. */
export interface StreamRecord extends KnownOrigin {
  /** Id of the caller's attempt that received the first event. */
  readonly id: string
}

/** Outcome of a look-up. */
export const OriginLookupKind = {
  Known: 'known',
  /** There is no record; it may never have arrived, or was discarded. */
  Unknown: 'unknown',
  /** Two records name different origins. */
  Conflicting: 'conflicting'
} as const
export type OriginLookupKind = typeof OriginLookupKind[keyof typeof OriginLookupKind]

/** Result of a look-up. */
export type OriginLookup =
  | { readonly kind: typeof OriginLookupKind.Known, readonly origin: KnownOrigin }
  | { readonly kind: typeof OriginLookupKind.Unknown }
  | { readonly kind: typeof OriginLookupKind.Conflicting }

/** A software version that no server has; a record with it makes the origin of a stream conflicting, whatever else is recorded. */
export const noSoftwareVersion = ''

/** Maximum length of the id of an attempt, in characters; streams with longer ids are not recorded. */
export const maxStreamIdLength = 128

/** Time for which a record is kept, in milliseconds; callers resume a stream within seconds after it broke. */
const defaultRetentionMs = 60_000

/** Maximum number of records; each takes some 200 bytes. */
const defaultCapacity = 50_000

interface StoredOrigin {
  readonly service: string
  readonly softwareVersion: string
  readonly recordedAt: number
  readonly isConflicting: boolean
}

/** A bounded store of records. It starts empty, so a missing record says nothing about the stream. */
export interface StreamRecordStore {
  /** Random id of this store. A host that restarts has another one, by which gateways learn that its records are gone. */
  readonly start: string
  /**
   * Stores a record. A record with another origin than a stored one makes the origin of the stream conflicting.
   * @param record - the record
   */
  record (record: StreamRecord): void
  /**
   * Looks up the origin of a stream.
   * @param id - id of the caller's attempt that received the first event
   */
  find (id: string): OriginLookup
  /**
   * Lists the records up to an age, the oldest first, and after them the conflicting ones of any age, with `noSoftwareVersion`.
   * @param maxAgeMs - maximum age of a record that is not conflicting, in milliseconds
   */
  listRecent (maxAgeMs: number): StreamRecord[]
}

/**
 * Creates an empty store.
 * @param clock - source of time
 * @param capacity - maximum number of records; the oldest are discarded beyond it
 * @param retentionMs - time for which a record is kept, in milliseconds
 * @returns the store
 */
export function createStreamRecordStore (clock: Clock, capacity = defaultCapacity, retentionMs = defaultRetentionMs): StreamRecordStore {
  // In the order in which they were recorded.
  const origins = new Map<string, StoredOrigin>()

  function discard (): void {
    const oldestAt = clock.now() - retentionMs
    for (const [id, { recordedAt }] of origins) {
      if (recordedAt >= oldestAt && origins.size <= capacity) return
      origins.delete(id)
    }
  }

  return {
    start: randomUUID(),
    record ({ id, service, softwareVersion }) {
      const stored = origins.get(id)
      const isContradicted = stored !== undefined && (stored.isConflicting || stored.service !== service || stored.softwareVersion !== softwareVersion)
      const isConflicting = softwareVersion === noSoftwareVersion || isContradicted
      origins.delete(id)
      origins.set(id, { service, softwareVersion, recordedAt: clock.now(), isConflicting })
      discard()
    },
    find (id) {
      discard()
      const stored = origins.get(id)
      if (stored === undefined) return { kind: OriginLookupKind.Unknown }
      if (stored.isConflicting) return { kind: OriginLookupKind.Conflicting }
      return { kind: OriginLookupKind.Known, origin: { service: stored.service, softwareVersion: stored.softwareVersion } }
    },
    listRecent (maxAgeMs) {
      const oldestAt = clock.now() - maxAgeMs
      const recent: StreamRecord[] = []
      const conflicting: StreamRecord[] = []
      for (const [id, { service, softwareVersion, recordedAt, isConflicting }] of origins) {
        if (isConflicting) conflicting.push({ id, service, softwareVersion: noSoftwareVersion })
        else if (recordedAt >= oldestAt) recent.push({ id, service, softwareVersion })
      }
      return [...recent, ...conflicting]
    }
  }
}
