/**
 * Which items are interrupted for live requests.
 *
 * Load pattern: live requests need slots back within a fraction of a second. An item that is about to end frees its slot about as soon as an
 * interruption would, which takes a report, a plan and a command. Of the others, the one that can wait longest loses least: its events are
 * reported with its interruption, and it resumes after them.
 * @module
 */
import type { ItemUrgency } from './batchPlan.ts'
import { countAcceptableWaits, type ServiceTraffic } from './itemRoom.ts'

/** Remaining run time below which an item is not interrupted, in milliseconds: about the time that an interruption takes. */
export const endingMs = 750

/** Items in flight on a server. */
export interface OccupiedServer {
  readonly id: string
  readonly slots: number
  /** Live requests in flight. */
  readonly live: number
  readonly items: readonly ItemUrgency[]
}

/**
 * Chooses the items to interrupt: as many as are in the way on all servers together, each on the server that is over its slots by most, and
 * those by which a single server is further over its slots than live requests there can wait for.
 * @param servers - the servers of a service
 * @param excess - items of the service that are in the way of live requests
 * @param traffic - what is known of live requests of the service
 * @returns keys of the items
 */
export function planInterruptions (servers: readonly OccupiedServer[], excess: number, traffic: Pick<ServiceTraffic, 'requestMs' | 'objectiveMs'>): string[] {
  const interruptions: string[] = []
  const remaining = servers.map(server => ({ server, over: server.live + server.items.length - server.slots, candidates: orderForInterruption(server.items) }))
  for (const entry of remaining) {
    const { server: { slots, items } } = entry
    const tolerated = Math.ceil(countAcceptableWaits({ ...traffic, slots, items: items.length }))
    while (entry.over > tolerated && interruptFirst(entry)) continue
  }
  while (interruptions.length < excess) {
    let most: typeof remaining[number] | undefined
    for (const entry of remaining) {
      if (entry.candidates.length > 0 && (most === undefined || entry.over > most.over)) most = entry
    }
    if (most === undefined) break
    interruptFirst(most)
  }
  return interruptions

  function interruptFirst (entry: typeof remaining[number]): boolean {
    const item = entry.candidates.shift()
    if (item === undefined) return false
    interruptions.push(item.key)
    entry.over--
    return true
  }
}

function orderForInterruption (items: readonly ItemUrgency[]): ItemUrgency[] {
  const slackMs = ({ dueInMs, remainingMs }: ItemUrgency): number => dueInMs - remainingMs
  return items.filter(item => item.remainingMs > endingMs).sort((left, right) => slackMs(right) - slackMs(left))
}
