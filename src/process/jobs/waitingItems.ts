/**
 * Queue of the waiting items of one job, by priority and then position.
 * @module
 */
import { ItemPhase, type JobItem, type WaitingItems } from './job.ts'
import { createHeap, type Heap } from '../program/heap.ts'

/** Number of item priorities; see `Priority`. */
const priorityCount = 2

interface Queue {
  /** Positions of items that were never granted, ascending. */
  readonly neverGranted: Uint32Array
  next: number
  /** Positions of requeued items. They are lower than all positions that were never granted, so they are granted first. */
  readonly requeued: Heap<number>
}

/**
 * Creates the queue of waiting items. Its order depends only on the items, so a restored job keeps the same order.
 * @param items - all items of the job
 * @returns the queue
 */
export function createWaitingItems (items: readonly JobItem[]): WaitingItems {
  const queues = Array.from({ length: priorityCount }, (_, priority) => createQueue(items, priority))

  function firstQueue (): Queue | undefined {
    return queues.find(queue => queue.requeued.size > 0 || queue.next < queue.neverGranted.length)
  }

  return {
    firstPriority () {
      const queue = firstQueue()
      return queue === undefined ? undefined : queues.indexOf(queue)
    },
    take () {
      const queue = firstQueue()
      if (queue === undefined) return undefined
      const requeued = queue.requeued.first()
      if (requeued === undefined) return queue.neverGranted[queue.next++]
      queue.requeued.remove(requeued)
      return requeued
    },
    requeue (priority, position) {
      queues[priority]?.requeued.put(position)
    }
  }
}

function createQueue (items: readonly JobItem[], priority: number): Queue {
  const neverGranted: number[] = []
  const requeued = createHeap<number>((left, right) => left < right)
  for (const [position, item] of items.entries()) {
    if (item.item.priority !== priority || item.phase !== ItemPhase.Waiting) continue
    if (item.grant === 0) neverGranted.push(position)
    else requeued.put(position)
  }
  return { neverGranted: Uint32Array.from(neverGranted), next: 0, requeued }
}
