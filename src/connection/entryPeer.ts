/**
 * The task that shares the changes on this host with one peer entry host: announcements and crash reports.
 * @module
 */
import type { Clock } from '../process/program/clock.ts'
import { Step } from '../process/program/failure.ts'
import type { SharedUpdates } from '../process/routing/sharedUpdates.ts'
import { type InternalClients, TrafficClass } from './internalClient.ts'

/** Minimum interval between two shares, in milliseconds; changes within it are batched. */
const minShareIntervalMs = 250

/** Maximum time for which plain renewals are batched, in milliseconds: half of the 2 s within which all hosts must receive them. */
const renewalBatchMs = 1_000

/** Timeout for one share, in milliseconds. */
const shareTimeoutMs = 1_000

/** Dependencies and settings of the task for one peer. */
export interface EntryPeer {
  /** Internal address of the peer. */
  readonly address: string
  /** Name of this host. */
  readonly host: string
  readonly updates: SharedUpdates
  readonly clients: InternalClients
  readonly clock: Clock
  readonly signal: AbortSignal
}

/**
 * Sends shares to the peer until the signal aborts.
 * @param peer - dependencies and settings of the task
 * @returns a promise that resolves when the task has ended
 */
export async function runEntryPeer (peer: EntryPeer): Promise<void> {
  const { address, host, updates, clients, clock, signal } = peer
  // A new peer has no state, so the first share carries everything that has not expired.
  let sentRevision = 0
  let unheld: ReadonlySet<string> = new Set()
  let batchUntil = clock.now()
  while (!signal.aborted) {
    if (updates.revision === sentRevision && unheld.size === 0) {
      await updates.changed.wait(renewalBatchMs, signal)
      continue
    }
    const batchRemainingMs = batchUntil - clock.now()
    if (updates.urgentRevision <= sentRevision && unheld.size === 0 && batchRemainingMs > 0) {
      await updates.changed.wait(batchRemainingMs, signal)
      continue
    }
    const revision = updates.revision
    const sentAt = clock.now()
    const share = updates.createShareSince(sentRevision, host, unheld)
    const result = await clients.call(address, TrafficClass.Control, Step.Share, shareTimeoutMs, (client, abort) =>
      client.entry.share.mutate(share, { signal: abort }))
    // A share that may not have arrived is sent again; the receiver deduplicates its content by incarnation and sequence number.
    // False means that the peer is still starting and has not received it.
    if (result.isOk() && result.value !== false) {
      sentRevision = revision
      unheld = new Set(result.value.unheld)
      batchUntil = sentAt + renewalBatchMs
    }
    await clock.sleep(minShareIntervalMs, signal)
  }
}
