/**
 * Claims of batch items that find nothing waiting. They are held for a while and answered without an entry in the log:
 * written to it, the claims of idle backend servers would be most of the log.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { type CommandOf, type Outcome, OutcomeKind } from '../state/commands.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import type { ControlState } from '../state/controlState.ts'
import { chooseJob } from './jobSchedule.ts'

/** How long a claim is held when nothing waits, in milliseconds. */
export const claimLongPollMs = 1_000

/** Claims at the leader. */
export interface IdleClaims {
  /** To be notified when items may have begun to wait. */
  readonly workArrived: Condition
  /**
   * Holds a claim until there is work for it.
   * @param command - the claim
   * @param isLeader - tells whether this host still leads
   * @param signal - ends the wait early
   * @returns an outcome without grants, or undefined when the claim goes to the log
   */
  hold (command: CommandOf<'claim'>, isLeader: () => boolean, signal: AbortSignal): Promise<Outcome | undefined>
}

interface AnsweredClaim {
  readonly lease: number
  readonly sequence: number
}

const noGrants: Outcome = { kind: OutcomeKind.Grants, grants: [] }

/**
 * Creates the record without claims.
 * @param state - the durable state, which is only read
 * @param clock - the clock
 * @returns the record
 */
export function createIdleClaims (state: ControlState, clock: Clock): IdleClaims {
  const workArrived = createCondition(clock)
  const answered = new Map<string, AnsweredClaim>()

  // A copy that was on its way for long would be granted items that nobody takes.
  function isAnswered ({ backendServer, lease, sequence }: CommandOf<'claim'>): boolean {
    const last = answered.get(backendServer)
    return last !== undefined && last.lease === lease && sequence <= last.sequence
  }

  // A claim that the log knows gets the grants it got before, and one without its lease is refused there.
  function isForLog ({ backendServer, holder, lease, sequence }: CommandOf<'claim'>): boolean {
    const held = state.leases.get(backendServer)
    if (held?.holder !== holder || held.number !== lease) return true
    const last = state.jobs.lastClaims.get(backendServer)
    return last?.lease === lease && sequence <= last.sequence
  }

  function isWorkWaiting (pool: string): boolean {
    const routes = state.configuration.routes.filter(route => route.pool === pool).map(route => route.name)
    return chooseJob(state.jobs.schedule, routes, state.jobs.grants + 1) !== undefined
  }

  return {
    workArrived,
    async hold (command, isLeader, signal) {
      const deadline = clock.now() + claimLongPollMs
      while (isLeader() && !signal.aborted) {
        if (isForLog(command)) return undefined
        if (isAnswered(command)) return noGrants
        if (isWorkWaiting(command.pool)) return undefined
        const leftMs = deadline - clock.now()
        if (leftMs <= 0) {
          answered.set(command.backendServer, { lease: command.lease, sequence: command.sequence })
          return noGrants
        }
        await workArrived.wait(leftMs, signal)
      }
      return undefined
    }
  }
}
