/**
 * Time since the leader last knew that no other leader had accepted newer tables. Hosts accept keys of client accounts only by tables
 * that were the newest a short time ago (see docs/design/client-accounts.md).
 * @module
 */
import type { Replica } from '../log/replica.ts'
import type { Clock } from '../program/clock.ts'
import type { ControlState } from '../state/controlState.ts'

/** Interval between two confirmations, in milliseconds. Each one costs the leader a message to every other voter. */
const confirmationIntervalMs = 250

/** Dependencies of the confirmations. */
export interface TablesConfirmationInputs {
  readonly clock: Clock
  readonly replica: Pick<Replica, 'confirmRead'>
  readonly state: Pick<ControlState, 'publication'>
  readonly isLeading: () => boolean
  readonly getLeadership: () => string
}

/** Confirmations of the present leadership. */
export interface TablesConfirmations {
  /** Returns the time since the start of the last successful confirmation, in milliseconds; undefined if there was none, or if the tables have no accounts. */
  getAgeMs (): number | undefined
  /**
   * Confirms the leadership at intervals while the tables have accounts, until the signal aborts.
   * @param signal - ends the task
   * @returns a promise that resolves when the task has ended
   */
  run (signal: AbortSignal): Promise<void>
}

/**
 * Creates the confirmations.
 * @param inputs - dependencies
 * @returns the confirmations, not running yet
 */
export function createTablesConfirmations ({ clock, replica, state, isLeading, getLeadership }: TablesConfirmationInputs): TablesConfirmations {
  // The start counts, not the end: another leader may have accepted a version while the confirmation was on its way.
  let latest: { readonly leadership: string, readonly startedAt: number } | undefined

  const hasAccounts = (): boolean => state.publication?.tables.accounts !== undefined

  return {
    getAgeMs () {
      if (latest === undefined || latest.leadership !== getLeadership() || !hasAccounts()) return undefined
      return clock.now() - latest.startedAt
    },
    async run (signal) {
      while (!signal.aborted) {
        await clock.sleep(confirmationIntervalMs, signal)
        if (signal.aborted || !isLeading() || !hasAccounts()) continue
        const leadership = getLeadership()
        const startedAt = clock.now()
        const confirmed = await replica.confirmRead()
        if (confirmed.isOk()) latest = { leadership, startedAt }
      }
    }
  }
}
