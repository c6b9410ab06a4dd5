/**
 * Long polls of claims for which no items are waiting. Such a claim is held for a while and then answered without a log
 * entry; otherwise claims for idle backend servers would make up most of the log.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { type CommandOf, type Outcome, OutcomeKind } from '../state/commands.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import type { ControlState } from '../state/controlState.ts'
import { chooseJob } from './jobSchedule.ts'

/** How long a claim is held when no items are waiting, in milliseconds. */
export const claimLongPollMs = 1_000

/** Long polls of claims on the leader. */
export interface IdleClaims {
  /** Must be notified when items may have become available. */
  readonly itemsAvailable: Condition
  /**
   * Waits until items are available for a claim or the long poll ends.
   * @param command - the claim
   * @param isLeader - returns whether this host is still the leader
   * @param signal - aborts the wait
   * @returns an outcome without grants, or undefined if the claim has to be proposed to the log
   */
  waitForItems (command: CommandOf<'claim'>, isLeader: () => boolean, signal: AbortSignal): Promise<Outcome | undefined>
}

interface AnsweredClaim {
  readonly lease: number
  readonly sequence: number
}

const noGrants: Outcome = { kind: OutcomeKind.Grants, grants: [] }

/**
 * Creates the long poll of claims.
 * @param state - the durable state, which is only read
 * @param clock - the clock
 * @returns the long poll
 */
export function createIdleClaims (state: ControlState, clock: Clock): IdleClaims {
  const itemsAvailable = createCondition(clock)
  const answered = new Map<string, AnsweredClaim>()

  // A delayed duplicate of an answered claim would be granted items that no sender waits for.
  function isAnswered ({ backendServer, lease, sequence }: CommandOf<'claim'>): boolean {
    const last = answered.get(backendServer)
    return last !== undefined && last.lease === lease && sequence <= last.sequence
  }

  // The state machine returns the earlier grants of a claim that was applied before, and rejects a claim without the lease.
  function shouldPropose ({ backendServer, holder, lease, sequence }: CommandOf<'claim'>): boolean {
    const held = state.leases.get(backendServer)
    if (held?.holder !== holder || held.number !== lease) return true
    const last = state.jobs.lastClaims.get(backendServer)
    return last?.lease === lease && sequence <= last.sequence
  }

  function isItemWaiting (pool: string): boolean {
    const routes = state.configuration.routes.filter(route => route.pool === pool).map(route => route.name)
    return chooseJob(state.jobs.schedule, routes, state.jobs.grants + 1) !== undefined
  }

  return {
    itemsAvailable,
    async waitForItems (command, isLeader, signal) {
      const deadline = clock.now() + claimLongPollMs
      while (isLeader() && !signal.aborted) {
        if (shouldPropose(command)) return undefined
        if (isAnswered(command)) return noGrants
        if (isItemWaiting(command.pool)) return undefined
        const remainingMs = deadline - clock.now()
        if (remainingMs <= 0) {
          answered.set(command.backendServer, { lease: command.lease, sequence: command.sequence })
          return noGrants
        }
        await itemsAvailable.wait(remainingMs, signal)
      }
      return undefined
    }
  }
}
