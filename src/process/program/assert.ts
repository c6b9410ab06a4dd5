/**
 * Assertions for invariants and exhaustive switches.
 * @module
 */

/**
 * Marks the unreachable default case of an exhaustive switch.
 * @param value - the value that no case handled
 * @throws Error always; a missing case is already a compile-time error
 */
export function assertNever (value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}

/** A violated invariant: the state of the process can't be trusted any more. */
export class InvariantError extends Error {}

/**
 * Asserts an invariant.
 * @param condition - what must hold
 * @param message - the violation, for the error message
 * @throws InvariantError when the condition is false
 */
export function assert (condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantError(`invariant violated: ${message}`)
}
