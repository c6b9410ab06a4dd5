/**
 * The task that tells one peer entry host what changed here: announcements and crash reports.
 * @module
 */
import type { Clock } from '../process/program/clock.ts'
import { Step } from '../process/program/failure.ts'
import type { SharedUpdates } from '../process/routing/sharedUpdates.ts'
import { type InternalClients, TrafficClass } from './internalClient.ts'

/** Shortest time between two shares, in milliseconds; what comes in between goes together. */
const shareIntervalMs = 250

/** Longest time for which plain renewals are gathered, in milliseconds: half of the two seconds in which all hosts hear. */
const gatherMs = 1_000

/** Limit for one share, in milliseconds. */
const shareLimitMs = 1_000

/** What the task needs. */
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
 * Runs until the signal aborts.
 * @param peer - what the task needs
 * @returns a promise that resolves at the end
 */
export async function runEntryPeer (peer: EntryPeer): Promise<void> {
  const { address, host, updates: news, clients, clock, signal } = peer
  // A new peer has nothing, so the first share carries everything that has not expired.
  let sentRevision = 0
  let unheld: ReadonlySet<string> = new Set()
  let gatherUntil = clock.now()
  while (!signal.aborted) {
    if (news.revision === sentRevision && unheld.size === 0) {
      await news.changed.wait(gatherMs, signal)
      continue
    }
    const gatherLeftMs = gatherUntil - clock.now()
    if (news.urgentRevision <= sentRevision && unheld.size === 0 && gatherLeftMs > 0) {
      await news.changed.wait(gatherLeftMs, signal)
      continue
    }
    const revision = news.revision
    const sentAt = clock.now()
    const share = news.createShareSince(sentRevision, host, unheld)
    const result = await clients.call(address, TrafficClass.Control, Step.Share, shareLimitMs, (client, abort) =>
      client.entry.share.mutate(share, { signal: abort }))
    // A share that may not have arrived goes out again; the receiver knows its content by incarnation and sequence.
    if (result.isOk() && result.value !== false) {
      sentRevision = revision
      unheld = new Set(result.value.unheld)
      gatherUntil = sentAt + gatherMs
    }
    await clock.sleep(shareIntervalMs, signal)
  }
}
