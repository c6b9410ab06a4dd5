/**
 * The budget of bytes that a process holds for clients: heads, bodies, decoded messages and answers that are not read yet. When it is
 * used up, the holding that has kept most bytes for the longest time gives way, so that short exchanges are spared.
 * @module
 */
import { getHeapStatistics } from 'node:v8'

/** What the bytes are held for. */
export const HoldingKind = {
  /** The start of a head that has not arrived completely. */
  Head: 'head',
  /** The body of a request. */
  Upload: 'upload',
  /** The body of an order of an operator, which gives way after all others. */
  Order: 'order',
  /** Copies that are made of a body while its message is decoded and passed on. */
  Decoding: 'decoding',
  /** An answer that its reader has not taken yet. */
  Answer: 'answer'
} as const
export type HoldingKind = typeof HoldingKind[keyof typeof HoldingKind]

/**
 * Share of the heap's limit that is held for clients. The bytes lie beside the heap, and the rest of the memory is for the process itself,
 * for garbage, and for one message that is decoded beyond the budget.
 */
const heapShare = 1 / 4

/** Largest default limit, in bytes: without flags of Node.js, the heap may grow beyond the memory of a small machine. */
const maxDefaultLimitBytes = 20 * 1024 * 1024

/** Size up to which a holding is kept in any case, in bytes: an ordinary request, of which there are no more than connections. */
export const sparedBytes = 16 * 1024

/** Added to the age of a holding, in milliseconds, so that of new holdings the larger one gives way. */
const minAgeMs = 100

/** Bytes that one exchange holds. */
export interface MemoryHolding {
  readonly bytes: number
  /** Whether the holding had to give way; it counts no more. */
  readonly hasGivenWay: boolean
  /**
   * Changes the size. Makes holdings give way if the budget is exceeded, perhaps this one.
   * @param bytes - the new size
   * @returns whether the bytes may be kept; after false they are to be released at once
   */
  resize (bytes: number): boolean
  /** Keeps the holding from giving way from now on: its message is complete. */
  protect (): void
  /** Makes this holding give way, as when the budget is exceeded. */
  dismiss (): void
  /** Ends the holding. May be called more than once. */
  close (): void
}

/** Description of a holding. */
export interface HoldingDescription {
  readonly kind: HoldingKind
  /** Client account to which the bytes count together; undefined if it is not known. */
  readonly account?: string | undefined
  /** Releases the bytes, by a refusal or by closing the connection; undefined if the holding can't give way. */
  readonly giveWay?: (() => void) | undefined
}

/** The budget of one process. */
export interface MemoryBudget {
  readonly limitBytes: number
  readonly usedBytes: number
  /**
   * Starts a holding of 0 bytes.
   * @param description - what it is for
   * @returns the holding, to be closed by the caller
   */
  open (description: HoldingDescription): MemoryHolding
  /**
   * Waits for space for copies of a message, in the order of the calls. The first call is served in any case, so that each message is
   * decoded in the end; the others when their bytes fit.
   * @param bytes - size of the copies
   * @param timeoutMs - longest wait, in milliseconds
   * @returns the holding, to be closed by the caller; undefined on timeout
   */
  reserve (bytes: number, timeoutMs: number): Promise<MemoryHolding | undefined>
}

/** Settings and dependencies of a budget. */
export interface MemoryBudgetInputs {
  readonly limitBytes: number
  /** Monotonic time, in milliseconds. */
  readonly now: () => number
  /** Called when a holding gives way. */
  readonly onGivenWay?: (kind: HoldingKind, bytes: number) => void
}

interface Holding {
  readonly description: HoldingDescription
  readonly openedAt: number
  bytes: number
  isProtected: boolean
  hasGivenWay: boolean
}

interface Waiter {
  readonly bytes: number
  readonly grant: (holding: MemoryHolding | undefined) => void
}

/**
 * Computes the default limit of a process.
 * @returns the limit, in bytes
 */
export function computeMemoryBudgetBytes (): number {
  return Math.floor(Math.min(maxDefaultLimitBytes, getHeapStatistics().heap_size_limit * heapShare))
}

/**
 * Creates a budget of which nothing is used.
 * @param inputs - settings and dependencies
 * @returns the budget
 */
export function createMemoryBudget (inputs: MemoryBudgetInputs): MemoryBudget {
  const { limitBytes, now } = inputs
  const holdings = new Set<Holding>()
  const accountBytes = new Map<string, number>()
  const waiters: Waiter[] = []
  let usedBytes = 0
  let decodings = 0

  function add (holding: Holding, bytes: number): void {
    holding.bytes += bytes
    usedBytes += bytes
    const { account } = holding.description
    if (account === undefined) return
    const sum = (accountBytes.get(account) ?? 0) + bytes
    if (sum > 0) accountBytes.set(account, sum)
    else accountBytes.delete(account)
  }

  // An upload that stops short of its end, or an answer that nobody reads, becomes the first with time. The bytes of an account count at
  // most twice, so that an account with many uploads gives way before the others.
  function computeRank ({ bytes, openedAt, description: { account } }: Holding, at: number): number {
    const shared = account === undefined ? 0 : (accountBytes.get(account) ?? 0) / limitBytes
    return bytes * (at - openedAt + minAgeMs) * (1 + Math.min(1, shared))
  }

  function findFirstToGiveWay (): Holding | undefined {
    const at = now()
    let first: Holding | undefined
    let firstRank = 0
    let isFirstOrder = false
    for (const holding of holdings) {
      if (holding.isProtected || holding.description.giveWay === undefined || holding.bytes <= sparedBytes) continue
      const isOrder = holding.description.kind === HoldingKind.Order
      if (first !== undefined && isOrder && !isFirstOrder) continue
      const rank = computeRank(holding, at)
      if (isOrder === isFirstOrder && rank <= firstRank) continue
      first = holding
      firstRank = rank
      isFirstOrder = isOrder
    }
    return first
  }

  function makeSpace (neededBytes: number): void {
    const isFull = (): boolean => usedBytes + neededBytes > limitBytes
    for (let holding = isFull() ? findFirstToGiveWay() : undefined; holding !== undefined; holding = isFull() ? findFirstToGiveWay() : undefined) {
      dismiss(holding)
    }
  }

  function dismiss (holding: Holding): void {
    const { bytes, description: { kind, giveWay } } = holding
    holding.hasGivenWay = true
    remove(holding)
    inputs.onGivenWay?.(kind, bytes)
    giveWay?.()
  }

  function remove (holding: Holding): void {
    if (!holdings.delete(holding)) return
    add(holding, -holding.bytes)
    if (holding.description.kind === HoldingKind.Decoding) decodings--
    grantWaiting()
  }

  function grantWaiting (): void {
    for (let first = waiters[0]; first !== undefined && canDecode(first.bytes); first = waiters[0]) {
      waiters.shift()
      first.grant(openDecoding(first.bytes))
    }
  }

  function canDecode (bytes: number): boolean {
    return decodings === 0 || usedBytes + bytes <= limitBytes
  }

  function openDecoding (bytes: number): MemoryHolding {
    decodings++
    const holding = open({ kind: HoldingKind.Decoding })
    holding.resize(bytes)
    return holding
  }

  function open (description: HoldingDescription): MemoryHolding {
    const holding: Holding = { description, openedAt: now(), bytes: 0, isProtected: false, hasGivenWay: false }
    holdings.add(holding)
    return {
      get bytes () { return holding.bytes },
      get hasGivenWay () { return holding.hasGivenWay },
      resize (bytes) {
        if (!holdings.has(holding)) return false
        const isGrowing = bytes > holding.bytes
        add(holding, bytes - holding.bytes)
        if (isGrowing) makeSpace(0)
        else grantWaiting()
        return !holding.hasGivenWay
      },
      protect () {
        holding.isProtected = true
      },
      dismiss () {
        if (holdings.has(holding) && !holding.isProtected) dismiss(holding)
      },
      close () {
        remove(holding)
      }
    }
  }

  return {
    limitBytes,
    get usedBytes () { return usedBytes },
    open,
    async reserve (bytes, timeoutMs) {
      if (waiters.length === 0) {
        makeSpace(bytes)
        if (canDecode(bytes)) return openDecoding(bytes)
      }
      return await new Promise(resolve => {
        const timer = setTimeout(() => waiter.grant(undefined), timeoutMs)
        const waiter: Waiter = {
          bytes,
          grant (holding) {
            clearTimeout(timer)
            const index = waiters.indexOf(waiter)
            if (index >= 0) waiters.splice(index, 1)
            resolve(holding)
          }
        }
        waiters.push(waiter)
      })
    }
  }
}
