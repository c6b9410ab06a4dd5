/**
 * Changes of the configuration tables and their outcomes by operation id, as applied from the replicated log.
 * @module
 */
import { createHash } from 'node:crypto'
import { compareTables } from '../../version/difference.ts'
import type { Configuration } from '../../version/tables.ts'
import { validateTables } from '../../version/validation.ts'
import { type CommandOf, type Outcome, OutcomeKind } from './commands.ts'

/** Maximum number of outcomes that are retained by operation id. */
export const retainedOperationLimit = 10_000

/**
 * Maximum number of changed rows and problems in all retained outcomes together. Evicting an operation is safe: when it
 * is sent again it results in a conflict, since the version that it expects is no longer current.
 */
export const retainedChangeLimit = 100_000

/** The outcome of an operation with a digest of its content, which identifies a retry. */
export interface Operation {
  readonly digest: string
  readonly outcome: Outcome
}

/** The active tables and the retained operations. */
export interface Operations {
  configuration: Configuration
  /** By operation id, oldest first. */
  readonly operations: Map<string, Operation>
  /** Number of changed rows and problems in all retained outcomes. */
  changes: number
}

/**
 * Applies a change exactly once: a retry with the same operation id returns the first outcome.
 * @param state - the tables and the operations
 * @param command - the command
 * @returns applied, a conflict with the current version and the differences, or the validation problems
 */
export function applyOnce (state: Operations, command: CommandOf<'apply'>): Outcome {
  const digest = createHash('sha256').update(toCanonicalJson([command.expected, command.tables])).digest('base64')
  const earlier = state.operations.get(command.operation)
  if (earlier !== undefined) {
    if (earlier.digest === digest) return earlier.outcome
    return { kind: OutcomeKind.Conflict, text: 'the operation id is already used with other content', version: state.configuration.version }
  }
  const outcome = applyTables(state, command)
  retainOperation(state, command.operation, { digest, outcome })
  return outcome
}

/**
 * Retains an outcome and evicts the oldest ones beyond the limits.
 * @param state - the tables and the operations
 * @param id - the operation id
 * @param operation - the outcome with its digest
 */
export function retainOperation (state: Operations, id: string, operation: Operation): void {
  state.operations.set(id, operation)
  state.changes += countChanges(operation.outcome)
  for (const [oldest, evicted] of state.operations) {
    if (state.operations.size <= retainedOperationLimit && state.changes <= retainedChangeLimit) break
    state.operations.delete(oldest)
    state.changes -= countChanges(evicted.outcome)
  }
}

function applyTables (state: Operations, command: CommandOf<'apply'>): Outcome {
  const current = state.configuration
  const valid = validateTables(command.tables)
  if (valid.isErr()) return { kind: OutcomeKind.Invalid, problems: valid.error }
  if (command.expected !== current.version) {
    const text = `the current version is ${current.version}, not ${command.expected}`
    return { kind: OutcomeKind.Conflict, text, version: current.version, changes: compareTables(current, valid.value) }
  }
  state.configuration = { version: current.version + 1, ...valid.value }
  return { kind: OutcomeKind.Applied, version: state.configuration.version }
}

function countChanges (outcome: Outcome): number {
  if (outcome.kind === OutcomeKind.Conflict) return outcome.changes?.length ?? 0
  return outcome.kind === OutcomeKind.Invalid ? outcome.problems.length : 0
}

// Serializes with sorted keys, since two encodings of the same tables may order the members of an object differently.
function toCanonicalJson (value: unknown): string {
  return JSON.stringify(value, (_, member: unknown) => {
    if (typeof member !== 'object' || member === null || Array.isArray(member)) return member
    return Object.fromEntries(Object.entries(member).sort(([left], [right]) => left < right ? -1 : 1))
  })
}
