/**
 * Scheduling of batch items: which items to start on which backend servers, and which to interrupt for live requests.
 * @module
 */

/** Backend server with the load that the plan takes into account. */
export interface PlannedServer {
  readonly id: string
  readonly slots: number
  /** Live requests to leave slots for, from all hosts. */
  readonly live: number
  /** Keys of the items in flight on the server, the most urgent first if there are more than free slots. */
  readonly items: readonly string[]
  /** Whether new items may be started on the server. */
  readonly canStartItems: boolean
  /** Maximum number of items to start, whatever the number of free slots. */
  readonly maxStarts: number
  /** Version of the server's software; undefined if it is not known. */
  readonly softwareVersion?: string | undefined
  /** Speed of the server as a multiple of the usual one; undefined if it is not known. */
  readonly speed?: number | undefined
}

/**
 * Checks whether an item may be started on a server.
 * @param server - the server
 * @returns whether it has a free slot and accepts new items
 */
export function hasFreeSlot ({ slots, live, items, canStartItems, maxStarts }: PlannedServer): boolean {
  return canStartItems && maxStarts > 0 && slots > live + items.length
}

/** Items to start and to interrupt. */
export interface BatchPlan {
  /** Items to start, each as the id of the server and the key of the item. */
  readonly starts: ReadonlyArray<{ readonly server: string, readonly item: string }>
  /** Keys of the items to interrupt; they are resumed later from their saved progress. */
  readonly interruptions: readonly string[]
}

/** Due time and expected run time of an item. */
export interface ItemUrgency {
  readonly key: string
  /** Time until the result is due, in milliseconds; negative when it is late. */
  readonly dueInMs: number
  /** Expected remaining run time, in milliseconds. */
  readonly remainingMs: number
}

/**
 * Orders items by urgency: items that can still be on time come first, by due time and then by remaining run time. Items
 * that will be late in any case come last, since they would otherwise delay all items behind them.
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

/** Software version at which an item may resume from its saved progress. */
export interface Resumption {
  readonly softwareVersion: string
  /** Whether the item may wait for a slot of that version; otherwise it begins anew on any server. */
  readonly canWait: boolean
}

/**
 * Assigns waiting items to free slots, and interrupts the least urgent items of servers whose slots are exceeded. An item that may resume is
 * started on a server of its software version. While such servers exist and none has a free slot, it is not started if it may wait.
 * @param servers - the backend servers
 * @param waiting - keys of the waiting items, the most urgent first
 * @param resumptions - items that may resume, by key
 * @returns the plan
 */
export function planBatch (servers: readonly PlannedServer[], waiting: Iterable<string>, resumptions: ReadonlyMap<string, Resumption> = new Map()): BatchPlan {
  const interruptions: string[] = []
  const freeSlotsByServer = new Map<string, number>()
  // Servers without a free slot are not listed, so that an item that waits for one costs no search.
  const freeSlotsByVersion = new Map<string, Map<string, number>>()
  const versions = new Map<string, string>()
  const speeds = new Map<string, number>()
  for (const server of servers) {
    const { id, softwareVersion } = server
    const freeSlots = server.slots - server.live - server.items.length
    if (server.speed !== undefined) speeds.set(id, server.speed)
    const excessItems = Math.min(-freeSlots, server.items.length)
    if (excessItems > 0) interruptions.push(...server.items.slice(server.items.length - excessItems))
    if (softwareVersion !== undefined) {
      versions.set(id, softwareVersion)
      if (!freeSlotsByVersion.has(softwareVersion)) freeSlotsByVersion.set(softwareVersion, new Map())
    }
    if (hasFreeSlot(server)) setFreeSlots(id, Math.min(freeSlots, server.maxStarts))
  }

  function setFreeSlots (id: string, count: number): void {
    const ofVersion = freeSlotsByVersion.get(versions.get(id) ?? '')
    for (const freeSlots of [freeSlotsByServer, ofVersion]) {
      if (count > 0) freeSlots?.set(id, count)
      else freeSlots?.delete(id)
    }
  }

  function chooseServer (resumption: Resumption | undefined): string | undefined {
    const ofVersion = resumption === undefined ? undefined : freeSlotsByVersion.get(resumption.softwareVersion)
    if (resumption === undefined || ofVersion === undefined) return findServerForItem(freeSlotsByServer, speeds)
    return findServerForItem(ofVersion, speeds) ?? (resumption.canWait ? undefined : findServerForItem(freeSlotsByServer, speeds))
  }

  const starts: Array<{ server: string, item: string }> = []
  for (const item of waiting) {
    if (freeSlotsByServer.size === 0) break
    const server = chooseServer(resumptions.get(item))
    if (server === undefined) continue
    starts.push({ server, item })
    setFreeSlots(server, (freeSlotsByServer.get(server) ?? 0) - 1)
  }
  return { starts, interruptions }
}

// Free slots count for more on a faster server.
function findServerForItem (freeSlotsByServer: ReadonlyMap<string, number>, speeds: ReadonlyMap<string, number>): string | undefined {
  let best: string | undefined
  let mostRoom = 0
  for (const [server, freeSlots] of freeSlotsByServer) {
    const room = freeSlots * (speeds.get(server) ?? 1)
    if (room <= mostRoom) continue
    best = server
    mostRoom = room
  }
  return best
}
