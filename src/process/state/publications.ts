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
  const { publication } = command
  const current = state.publication
  const { version } = publication.tables
  if (current !== undefined && version <= current.tables.version) {
    if (version === current.tables.version && publication.digest !== current.digest) {
      return { kind: OutcomeKind.Conflict, text: `version ${version} is in force with other content`, version }
    }
    return { kind: OutcomeKind.Applied, version: current.tables.version }
  }
  state.publication = publication
  return { kind: OutcomeKind.Applied, version }
}
