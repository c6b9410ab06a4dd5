/**
 * Assertions for invariants and exhaustive switches.
 * @module
 */

/**
 * Marks the end of an exhaustive switch.
 * @param value - the value that no case took
 * @throws Error always; the compiler reports a missing case before that
 */
export function assertNever (value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}

/**
 * Checks an invariant.
 * @param condition - what must hold
 * @param message - what is wrong when it does not
 * @throws Error when the condition is false
 */
export function assert (condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(`invariant violated: ${message}`)
}
