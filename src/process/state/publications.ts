/**
 * Published gateway tables, as applied from the replicated log.
 * @module
 */
import type { Publication } from '../../version/gatewayTables.ts'
import { type CommandOf, type Outcome, OutcomeKind } from './commands.ts'

/** The newest publication. */
export interface Publications {
  publication: Publication | undefined
}

/**
 * Applies a publication. The highest version is active. A version that is not higher is accepted without effect, so a
 * retry succeeds, but different content under the active version is a conflict.
 * @param state - the newest publication
 * @param command - the command
 * @returns applied with the active version, or a conflict
 */
export function publish (state: Publications, command: CommandOf<'publish'>): Outcome {
  const unchanged = findOutcomeWithoutChange(state, command)
  if (unchanged !== undefined) return unchanged
  state.publication = command.publication
  return { kind: OutcomeKind.Applied, version: command.publication.tables.version }
}

/**
 * Finds the outcome of a publication that changes nothing. Versions only rise, so it remains the outcome.
 * @param state - the newest publication
 * @param command - the command
 * @returns the outcome, or undefined if the publication would become active
 */
export function findOutcomeWithoutChange ({ publication: current }: Publications, { publication }: CommandOf<'publish'>): Outcome | undefined {
  const { version } = publication.tables
  if (current === undefined || version > current.tables.version) return undefined
  if (version < current.tables.version || publication.digest === current.digest) return { kind: OutcomeKind.Applied, version: current.tables.version }
  return { kind: OutcomeKind.Conflict, text: `version ${version} is in force with other content`, version }
}
