/**
 * The task that tells one peer entry host what changed here: announcements and crash reports.
 * @module
 */
import type { Clock } from '../process/program/clock.ts'
import { Step } from '../process/program/failure.ts'
import type { SharedNews } from '../process/routing/sharedNews.ts'
import { type InternalClients, TrafficClass } from './internalClient.ts'

/** Shortest time between two shares, in milliseconds; what comes in between goes together. */
const minShareIntervalMs = 250

/** Longest time for which plain renewals are gathered, in milliseconds: half of the two seconds in which all hosts hear. */
const renewalBatchMs = 1_000

/** Limit for one share, in milliseconds. */
const shareTimeoutMs = 1_000

/** What the task needs. */
export interface EntryPeer {
  /** Internal address of the peer. */
  readonly address: string
  /** Name of this host. */
  readonly host: string
  readonly updates: SharedNews
  readonly clients: InternalClients
  readonly clock: Clock
  readonly signal: AbortSignal
}

/**
 * Runs until the signal aborts.
 * @param peer - what the task needs
 * @returns a promise that resolves at the end
 */
export async function runEntryPeer (peer: EntryPeer): Promise<void> {
  const { address, host, updates: news, clients, clock, signal } = peer
  // A new peer has nothing, so the first share carries everything that has not expired.
  let sentRevision = 0
  let unheld: ReadonlySet<string> = new Set()
  let batchUntil = clock.now()
  while (!signal.aborted) {
    if (news.revision === sentRevision && unheld.size === 0) {
      await news.changed.wait(renewalBatchMs, signal)
      continue
    }
    const batchRemainingMs = batchUntil - clock.now()
    if (news.urgentRevision <= sentRevision && unheld.size === 0 && batchRemainingMs > 0) {
      await news.changed.wait(batchRemainingMs, signal)
      continue
    }
    const revision = news.revision
    const sentAt = clock.now()
    const share = news.since(sentRevision, host, unheld)
    const result = await clients.call(address, TrafficClass.Control, Step.Share, shareTimeoutMs, (client, abort) =>
      client.entry.share.mutate(share, { signal: abort }))
    // A share that may not have arrived goes out again; the receiver knows its content by incarnation and sequence.
    if (result.isOk() && result.value !== false) {
      sentRevision = revision
      unheld = new Set(result.value.unheld)
      batchUntil = sentAt + renewalBatchMs
    }
    await clock.sleep(minShareIntervalMs, signal)
  }
}
