/**
 * Commands for tests of the durable state that run without hosts.
 * @module
 */
import { pack, unpack } from 'msgpackr'
import { CommandKind, type Grant, type Item, type Outcome, Priority } from '../../src/process/state/commands.ts'
import { applyCommand, type ControlState } from '../../src/process/state/controlState.ts'
import { exportState, importState } from '../../src/process/state/stateSnapshot.ts'
import { poolSchema, routeSchema, type Tables } from '../../src/version/tables.ts'

/** Tables with one route `r` to one pool `p`. */
export const tables: Tables = { routes: [routeSchema.parse({ name: 'r', pool: 'p' })], pools: [poolSchema.parse({ name: 'p' })] }

/** Applies the tables above under an expected version. */
export function applyTables (state: ControlState, expected: number, operation = `change ${expected}`): Outcome {
  return applyCommand(state, { kind: CommandKind.Apply, operation, expected, tables })
}

/** Fields of a submitted job that differ from the defaults. */
export interface JobOptions {
  readonly account?: string
  readonly due?: number
  readonly input?: string
  readonly digest?: string
  readonly key?: string
  readonly priority?: (position: number) => Priority
}

/** Uploads and seals a job; its id is also its key unless another key is given. */
export function submit (state: ControlState, id: string, count: number, options: JobOptions = {}): Outcome {
  const { account = 'a', due = 0, input = 'input', digest = id, key = id, priority = () => Priority.Ordinary } = options
  const items: Item[] = Array.from({ length: count }, (_, position) => ({ name: `${id}-${position}`, input, maxTokens: 1, priority: priority(position) }))
  applyCommand(state, { kind: CommandKind.OpenUpload, upload: id, account, key, route: 'r', due, time: 0 })
  applyCommand(state, { kind: CommandKind.AppendItems, upload: id, sequence: 0, items, time: 0 })
  return applyCommand(state, { kind: CommandKind.Seal, upload: id, account, key, digest, count, time: 0 })
}

/** Claims items under the first lease of backend server `b`, held by `h`. */
export function claim (state: ControlState, sequence: number, count: number): readonly Grant[] {
  const outcome = applyCommand(state, { kind: CommandKind.Claim, backendServer: 'b', holder: 'h', lease: 1, sequence, pool: 'p', count })
  if (outcome.kind !== 'grants') throw new Error(`the claim led to ${JSON.stringify(outcome)}`)
  return outcome.grants
}

/** Acquires the first lease of backend server `b` for `h`. */
export function acquireLease (state: ControlState): void {
  applyCommand(state, { kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'h', expected: 0 })
}

/** Rebuilds the state from its encoded snapshot. */
export function restore (state: ControlState): ControlState {
  return importState([...exportState(state)].map(part => unpack(pack(part)) as object))
}
