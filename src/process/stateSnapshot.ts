/**
 * Exports the durable state in parts and imports it again.
 * @module
 */
import { type ControlState, createControlState } from './controlState.ts'

/** A part of the state; msgpack can carry it. */
export type StatePart = object

/**
 * Exports the state.
 * @param state - the state
 * @returns its parts, each small enough for one record
 */
export function * exportState (state: ControlState): Iterable<StatePart> {
  yield { kind: 'configuration', configuration: state.configuration }
}

/**
 * Imports a state.
 * @param parts - the parts in the order of the export
 * @returns the state
 */
export function importState (parts: Iterable<StatePart>): ControlState {
  const state = createControlState()
  for (const part of parts) Object.assign(state, part)
  return state
}
