/**
 * Order of the waiting items of jobs that belong to client accounts.
 * @module
 */
import { type ItemUrgency, orderByUrgency, type PlannedServer } from '../../request/placement/batchPlan.ts'
import { type ItemCompetitor, orderByCompetition } from '../../request/placement/competition.ts'
import type { GatewayTables } from '../../version/gatewayTables.ts'
import type { Clock } from '../program/clock.ts'
import type { ControlState } from '../state/controlState.ts'
import type { BatchRoutes } from './batchRoutes.ts'
import type { OpenItems } from './openItems.ts'

/** Priority of an item whose route is not known; it is not started. */
const unknownPriority = 0

/** Time over which the slots for items are averaged, in milliseconds; longer than a wave of live requests. */
const smoothingMs = 6_000

/** Dependencies of the order. */
export interface ItemCompetitionInputs {
  readonly clock: Clock
  readonly state: Pick<ControlState, 'publication'>
  readonly routes: BatchRoutes
  readonly items: Pick<OpenItems, 'find' | 'running'>
}

/** Order of waiting items. */
export interface ItemCompetition {
  /**
   * Orders waiting items. Without accounts in the tables, only urgency counts.
   * @param waiting - the items
   * @param servers - the servers on which items may run
   * @returns the items, those to start first at the beginning
   */
  order (waiting: readonly ItemUrgency[], servers: Iterable<readonly PlannedServer[]>): ItemUrgency[]
}

/**
 * Creates the order.
 * @param inputs - dependencies
 * @returns the order
 */
export function createItemCompetition ({ state, routes, items, clock }: ItemCompetitionInputs): ItemCompetition {
  let tables: GatewayTables | undefined
  let priorities: ReadonlyMap<string, number> = new Map()
  let meanSlots: number | undefined
  let averagedAt = 0

  function updatePriorities (): void {
    if (tables === state.publication?.tables) return
    tables = state.publication?.tables
    const updated = new Map<string, number>()
    for (const { name, priority } of tables?.accounts ?? []) if (priority !== undefined) updated.set(name, priority)
    priorities = updated
  }

  function describe (urgency: ItemUrgency): ItemCompetitor {
    const record = items.find(urgency.key)?.record
    const account = record?.submission.account
    const accountPriority = account === undefined ? undefined : priorities.get(account)
    return { ...urgency, account, priority: accountPriority ?? (record === undefined ? undefined : routes.find(record)?.priority) ?? unknownPriority }
  }

  function countRunning (): Map<string, number> {
    const running = new Map<string, number>()
    for (const { record } of items.running()) {
      const { account } = record.submission
      if (account !== undefined) running.set(account, (running.get(account) ?? 0) + 1)
    }
    return running
  }

  // Slots of the moment say little, since live requests come in waves.
  function averageSlots (slots: number): number {
    const now = clock.now()
    meanSlots = meanSlots === undefined ? slots : meanSlots + (slots - meanSlots) * (1 - Math.exp((averagedAt - now) / smoothingMs))
    averagedAt = now
    return meanSlots
  }

  return {
    order (waiting, servers) {
      updatePriorities()
      if (tables?.accounts === undefined) return orderByUrgency(waiting)
      return orderByCompetition(waiting.map(describe), { byAccount: countRunning(), slots: averageSlots(countSlots(servers)) })
    }
  }
}

function countSlots (serversByService: Iterable<readonly PlannedServer[]>): number {
  let slots = 0
  for (const servers of serversByService) {
    for (const server of servers) slots += Math.max(0, server.slots - server.live)
  }
  return slots
}
