/**
 * A binary heap that supports removing values and updating their order.
 * @module
 */

/** A heap of distinct values, compared by identity. */
export interface Heap<Value> {
  readonly size: number
  /**
   * Returns the first value without removing it.
   * @returns the value that is ordered before all others, or undefined when the heap is empty
   */
  first (): Value | undefined
  /**
   * Adds a value, or restores the heap order after the order of a contained value has changed.
   * @param value - the value
   */
  put (value: Value): void
  /**
   * Removes a value. Has no effect if the heap does not contain it.
   * @param value - the value
   */
  remove (value: Value): void
}

/**
 * Creates an empty heap.
 * @param isBefore - whether the first value is ordered before the second; a strict total order
 * @returns the heap
 */
export function createHeap<Value> (isBefore: (left: Value, right: Value) => boolean): Heap<Value> {
  const values: Value[] = []
  const indexByValue = new Map<Value, number>()

  function setAt (value: Value, index: number): void {
    if (values[index] === value && index < values.length) return
    values[index] = value
    indexByValue.set(value, index)
  }

  function siftUp (value: Value, from: number): number {
    let index = from
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = values[parentIndex] as Value
      if (!isBefore(value, parent)) break
      setAt(parent, index)
      index = parentIndex
    }
    setAt(value, index)
    return index
  }

  function siftDown (value: Value, from: number): void {
    let index = from
    while (true) {
      const left = index * 2 + 1
      if (left >= values.length) break
      const right = left + 1
      const next = right < values.length && isBefore(values[right] as Value, values[left] as Value) ? right : left
      if (!isBefore(values[next] as Value, value)) break
      setAt(values[next] as Value, index)
      index = next
    }
    setAt(value, index)
  }

  function sift (value: Value, index: number): void {
    if (siftUp(value, index) === index) siftDown(value, index)
  }

  return {
    get size () { return values.length },
    first: () => values[0],
    put (value) {
      const index = indexByValue.get(value)
      if (index === undefined) siftUp(value, values.length)
      else sift(value, index)
    },
    remove (value) {
      const index = indexByValue.get(value)
      if (index === undefined) return
      indexByValue.delete(value)
      const last = values.pop() as Value
      if (last === value) return
      values[index] = last
      indexByValue.set(last, index)
      sift(last, index)
    }
  }
}
