/**
 * Validation of both tables together.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { type Tables, tablesSchema } from './tables.ts'

/** Validation problem of the tables. */
export interface Problem {
  /** Path of the invalid value, for example `routes[2].pool`. */
  readonly place: string
  readonly text: string
}

/**
 * Checks the rows, the uniqueness of names, and that the pool of each route exists.
 * @param candidate - parsed JSON
 * @returns the tables with defaults filled in, or all problems found
 */
export function validateTables (candidate: unknown): Result<Tables, Problem[]> {
  const parsed = tablesSchema.safeParse(candidate)
  if (!parsed.success) {
    return err(parsed.error.issues.map(issue => ({ place: formatPath(issue.path), text: issue.message })))
  }
  const problems = [
    ...findRepeatedNames('routes', parsed.data.routes),
    ...findRepeatedNames('pools', parsed.data.pools),
    ...findMissingPools(parsed.data)
  ]
  return problems.length === 0 ? ok(parsed.data) : err(problems)
}

function findRepeatedNames (table: string, rows: ReadonlyArray<{ readonly name: string }>): Problem[] {
  const seen = new Set<string>()
  const problems: Problem[] = []
  for (const [index, row] of rows.entries()) {
    if (seen.has(row.name)) problems.push({ place: `${table}[${index}].name`, text: `"${row.name}" is already used` })
    seen.add(row.name)
  }
  return problems
}

function findMissingPools (tables: Tables): Problem[] {
  const names = new Set(tables.pools.map(pool => pool.name))
  const problems: Problem[] = []
  for (const [index, route] of tables.routes.entries()) {
    if (names.has(route.pool)) continue
    problems.push({ place: `routes[${index}].pool`, text: `there is no pool "${route.pool}"` })
  }
  return problems
}

function formatPath (path: readonly PropertyKey[]): string {
  let text = ''
  for (const part of path) {
    text += typeof part === 'number' ? `[${part}]` : `${text === '' ? '' : '.'}${String(part)}`
  }
  return text
}
