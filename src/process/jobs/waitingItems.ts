/**
 * The waiting items of one job, for each priority in order of their position.
 * @module
 */
import { ItemPhase, type JobItem, type WaitingItems } from './job.ts'
import { createHeap, type Heap } from '../program/heap.ts'

/** Number of priorities. */
const priorities = 2

interface Queue {
  /** Positions that were never granted, ascending. */
  readonly fresh: Uint32Array
  next: number
  /** Positions that were returned. They lie before all fresh ones, so they go first. */
  readonly returned: Heap<number>
}

/**
 * Collects the waiting items. The order follows from the items alone, so a restored job goes on in the same order.
 * @param items - all items of the job
 * @returns its waiting items
 */
export function createWaitingItems (items: readonly JobItem[]): WaitingItems {
  const queues = Array.from({ length: priorities }, (_, priority) => createQueue(items, priority))

  function firstQueue (): Queue | undefined {
    return queues.find(queue => queue.returned.size > 0 || queue.next < queue.fresh.length)
  }

  return {
    firstPriority () {
      const queue = firstQueue()
      return queue === undefined ? undefined : queues.indexOf(queue)
    },
    take () {
      const queue = firstQueue()
      if (queue === undefined) return undefined
      const returned = queue.returned.first()
      if (returned === undefined) return queue.fresh[queue.next++]
      queue.returned.remove(returned)
      return returned
    },
    requeue (priority, position) {
      queues[priority]?.returned.put(position)
    }
  }
}

function createQueue (items: readonly JobItem[], priority: number): Queue {
  const fresh: number[] = []
  const returned = createHeap<number>((left, right) => left < right)
  for (const [position, item] of items.entries()) {
    if (item.item.priority !== priority || item.phase !== ItemPhase.Waiting) continue
    if (item.grant === 0) fresh.push(position)
    else returned.put(position)
  }
  return { fresh: Uint32Array.from(fresh), next: 0, returned }
}
