/**
 * The plan for batch items: which to start where, and which to interrupt for live work.
 * @module
 */

/** A backend server as the plan sees it. */
export interface PlannedServer {
  readonly id: string
  readonly slots: number
  /** Live requests in flight there, from all hosts. */
  readonly live: number
  /** Items in flight there, by key, the most urgent first. */
  readonly items: readonly string[]
  /** Whether new items may go there. */
  readonly canStartItems: boolean
}

/** What is to be done. */
export interface BatchPlan {
  readonly starts: ReadonlyArray<{ readonly server: string, readonly item: string }>
  /** Items to interrupt; they go on later from where they were. */
  readonly interruptions: readonly string[]
}

/** What the urgency of an item depends on. */
export interface ItemUrgency {
  readonly key: string
  /** Milliseconds until its result is due; negative when it is late. */
  readonly dueInMs: number
  /** Milliseconds that its run is expected to take yet. */
  readonly remainingMs: number
}

/**
 * Orders items: those that can still be on time come first, the earliest due and then the nearest to their end first.
 * Items that are late anyway would otherwise make all that follow late too.
 * @param items - the items
 * @returns the items, the most urgent first
 */
export function orderByUrgency (items: readonly ItemUrgency[]): ItemUrgency[] {
  const isOnTime = (item: ItemUrgency): boolean => item.dueInMs > item.remainingMs
  return [...items].sort((left, right) => {
    if (isOnTime(left) !== isOnTime(right)) return isOnTime(left) ? -1 : 1
    return left.dueInMs - right.dueInMs || left.remainingMs - right.remainingMs
  })
}

/**
 * Plans batch work.
 * @param servers - the backend servers
 * @param waiting - keys of the waiting items, the most urgent first
 * @returns the plan
 */
export function planBatch (servers: readonly PlannedServer[], waiting: Iterable<string>): BatchPlan {
  const stops: string[] = []
  const freeSlotsByServer = new Map<string, number>()
  for (const server of servers) {
    const freeSlots = server.slots - server.live - server.items.length
    const excessItems = Math.min(-freeSlots, server.items.length)
    if (excessItems > 0) stops.push(...server.items.slice(server.items.length - excessItems))
    if (freeSlots > 0 && server.canStartItems) freeSlotsByServer.set(server.id, freeSlots)
  }
  const starts: Array<{ server: string, item: string }> = []
  for (const item of waiting) {
    const server = findServerWithMostFreeSlots(freeSlotsByServer)
    if (server === undefined) break
    starts.push({ server, item })
    const remainingSlots = (freeSlotsByServer.get(server) ?? 0) - 1
    if (remainingSlots > 0) freeSlotsByServer.set(server, remainingSlots)
    else freeSlotsByServer.delete(server)
  }
  return { starts, interruptions: stops }
}

function findServerWithMostFreeSlots (freeSlotsByServer: ReadonlyMap<string, number>): string | undefined {
  let best: string | undefined
  let mostFreeSlots = 0
  for (const [server, freeSlots] of freeSlotsByServer) {
    if (freeSlots <= mostFreeSlots) continue
    best = server
    mostFreeSlots = freeSlots
  }
  return best
}
