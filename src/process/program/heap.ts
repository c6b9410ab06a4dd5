/**
 * A binary heap whose values can be removed or moved when their order changes.
 * @module
 */

/** A heap. Its values are compared by identity and held once each. */
export interface Heap<Value> {
  readonly size: number
  /**
   * Reads the first value.
   * @returns the value that goes before all others, if there is one
   */
  first (): Value | undefined
  /**
   * Adds a value, or moves it to its place when it is held already and its order changed.
   * @param value - the value
   */
  put (value: Value): void
  /**
   * Removes a value; one that is not held changes nothing.
   * @param value - the value
   */
  remove (value: Value): void
}

/**
 * Creates an empty heap.
 * @param isBefore - whether the first value goes before the second; a strict total order
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
