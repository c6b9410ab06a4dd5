/**
 * Confirmations of changes by the hosts of the fleet: the leader acknowledges a change only once every host that acts on it has
 * confirmed it.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { createCondition } from '../program/condition.ts'
import { createFailure, type Failure, FailureReason, type Step } from '../program/failure.ts'
import type { ProcessServices } from '../program/processServices.ts'
import type { FleetHost } from './fleetMessages.ts'
import { sessionTimeoutMs } from './hostSessions.ts'

/** Longest interval between two checks, in milliseconds: a confirmation may follow from the time that has passed. */
const checkIntervalMs = 250

/**
 * Time for which session changes are collected before the waits check again, in milliseconds. With hundreds of hosts a session changes
 * every few milliseconds, and each check looks at all of them.
 */
const collectMs = 20

/** The change to confirm. */
export interface ConfirmedChange {
  readonly step: Step
  /** Describes the change in failures. */
  readonly text: string
  /** How long to wait, in milliseconds. */
  readonly timeoutMs: number
  /** Checks whether this leader has the change. */
  readonly isKnown: () => boolean
  /** Finds a host that has not confirmed the change. */
  readonly findUnconfirmed: () => FleetHost | undefined
}

/** Confirmations at the leader. */
export interface HostConfirmations {
  /** Wakes the waits after a session has changed. */
  notify (): void
  /**
   * Waits until every host has confirmed a change.
   * @param change - the change
   * @returns nothing, or a `NotLeader` or `Unconfirmed` failure
   */
  wait (change: ConfirmedChange): Promise<Result<void, Failure>>
}

/** Dependencies of the confirmations. */
export interface HostConfirmationsInputs extends Pick<ProcessServices, 'clock' | 'lifecycle'> {
  /** Identifies the current leadership; undefined while this host does not lead. */
  readonly findLeadership: () => string | undefined
  /** Monotonic time at which the current leadership began, in milliseconds. */
  readonly getLeaderSince: () => number
  readonly createNotLeaderFailure: (step: Step) => Failure
}

/**
 * Creates the confirmations.
 * @param inputs - dependencies
 * @returns the confirmations
 */
export function createHostConfirmations ({ clock, lifecycle, findLeadership, getLeaderSince, createNotLeaderFailure }: HostConfirmationsInputs): HostConfirmations {
  const sessionChanged = createCondition(clock)
  let waits = 0
  let isCollecting = false

  // A new leader does not know every host before each has had the time of a session to contact it.
  function hasAllSessions (): boolean {
    return clock.now() - getLeaderSince() >= sessionTimeoutMs
  }

  return {
    notify () {
      if (waits === 0 || isCollecting) return
      isCollecting = true
      clock.schedule(collectMs, () => {
        isCollecting = false
        sessionChanged.notify()
      })
    },
    async wait ({ step, text, timeoutMs, isKnown, findUnconfirmed }) {
      const initialLeadership = findLeadership()
      const deadline = clock.now() + timeoutMs
      const isSameLeadership = (): boolean => initialLeadership !== undefined && findLeadership() === initialLeadership
      while (isSameLeadership() && !lifecycle.signal.aborted) {
        const host = findUnconfirmed()
        if (host === undefined && hasAllSessions() && isKnown()) return ok(undefined)
        const remainingMs = deadline - clock.now()
        if (remainingMs <= 0) return err(createFailure(FailureReason.Unconfirmed, { step, peer: host?.name }, `${text} is not confirmed by every host`))
        waits++
        await sessionChanged.wait(Math.min(remainingMs, checkIntervalMs), lifecycle.signal)
        waits--
      }
      return err(createNotLeaderFailure(step))
    }
  }
}
