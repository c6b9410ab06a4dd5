/**
 * Update messages between entry hosts about batch dispatch, and their receiver.
 * @module
 */
import type { Holder } from '../process/state/commands.ts'
import type { LeaseDirectory } from '../process/routing/leaseDirectory.ts'
import type { LiveWork } from '../process/routing/liveWork.ts'

/** State of batch dispatch on one entry host, as sent to another. */
export interface DispatchUpdate {
  readonly from: Holder
  /** Increases with each message; a message that arrives after a newer one is dropped. */
  readonly sequence: number
  /** All backend servers whose lease the sender holds. */
  readonly leases: readonly string[]
  /** Backend servers under the receiver's leases on which the sender runs live requests. */
  readonly live: readonly string[]
}

/** Receives updates from other entry hosts. */
export interface DispatchReceiver {
  /**
   * Applies an update.
   * @param update - the update
   * @returns true when it was newer than the last one from its sender, else false
   */
  receive (update: DispatchUpdate): boolean
}

/**
 * Creates the receiver.
 * @param leases - receives the leases of the sender
 * @param liveWork - receives the backend servers on which the sender runs live requests
 * @returns the receiver
 */
export function createDispatchReceiver (leases: LeaseDirectory, liveWork: LiveWork): DispatchReceiver {
  const sequences = new Map<Holder, number>()
  return {
    receive (update) {
      if (update.sequence <= (sequences.get(update.from) ?? -1)) return false
      sequences.set(update.from, update.sequence)
      leases.recordLeases(update.from, update.leases)
      liveWork.recordReport(update.from, update.live)
      return true
    }
  }
}
