/**
 * Messages between entry hosts about batch dispatch: their form and their receiver.
 * @module
 */
import type { Holder } from '../process/state/commands.ts'
import type { LeaseDirectory } from '../process/routing/leaseDirectory.ts'
import type { LiveWork } from '../process/routing/liveWork.ts'

/** What one entry host tells another about batch dispatch. */
export interface DispatchUpdate {
  readonly from: Holder
  /** Grows with each message; an older message that arrives late is dropped. */
  readonly sequence: number
  /** All backend servers whose lease the sender holds. */
  readonly leases: readonly string[]
  /** Backend servers under the receiver's leases on which the sender runs live requests. */
  readonly live: readonly string[]
}

/** Takes news from other entry hosts. */
export interface DispatchReceiver {
  /**
   * Takes a message.
   * @param update - the message
   * @returns true when it was newer than the last one
   */
  receive (update: DispatchUpdate): boolean
}

/**
 * Creates the receiver.
 * @param leases - takes leases
 * @param liveWork - takes live work
 * @returns the receiver
 */
export function createDispatchReceiver (leases: LeaseDirectory, liveWork: LiveWork): DispatchReceiver {
  const sequences = new Map<Holder, number>()
  return {
    receive (update) {
      if (update.sequence <= (sequences.get(update.from) ?? -1)) return false
      sequences.set(update.from, update.sequence)
      leases.hear(update.from, update.leases)
      liveWork.hear(update.from, update.live)
      return true
    }
  }
}
