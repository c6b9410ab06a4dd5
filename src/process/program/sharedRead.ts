/**
 * Shares one read among the callers that wait for it.
 * @module
 */

/**
 * Limits a read to one at a time. Calls during a read share the next one, which begins after them, so that each gets a value that is at least
 * as recent as its call.
 * @param read - reads the value; may reject
 * @returns the read that is shared
 */
export function shareRead<Value> (read: () => Promise<Value>): () => Promise<Value> {
  let current: Promise<unknown> = Promise.resolve()
  let next: Promise<Value> | undefined
  return () => {
    next ??= current.then(async () => {
      next = undefined
      const running = read()
      current = running.catch(() => {})
      return await running
    })
    return next
  }
}
