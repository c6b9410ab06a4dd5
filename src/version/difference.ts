/**
 * Differences between two versions of a table.
 * @module
 */
import type { Tables } from './tables.ts'

/** Kinds of change of a row. */
export const ChangeKind = { Added: 'added', Removed: 'removed', Changed: 'changed' } as const
export type ChangeKind = typeof ChangeKind[keyof typeof ChangeKind]

/** Change of one row. */
export interface Change {
  readonly kind: ChangeKind
  readonly table: 'routes' | 'pools'
  readonly name: string
  readonly before?: unknown
  readonly after?: unknown
}

/**
 * Compares two versions of the tables.
 * @param before - the older version
 * @param after - the newer version
 * @returns one change for each row that was added, removed or changed
 */
export function compareTables (before: Tables, after: Tables): Change[] {
  return [
    ...compareRows('pools', before.pools, after.pools),
    ...compareRows('routes', before.routes, after.routes)
  ]
}

function compareRows (
  table: Change['table'],
  before: ReadonlyArray<{ readonly name: string }>,
  after: ReadonlyArray<{ readonly name: string }>
): Change[] {
  const changes: Change[] = []
  const older = new Map(before.map(row => [row.name, row]))
  for (const row of after) {
    const previous = older.get(row.name)
    older.delete(row.name)
    if (previous === undefined) {
      changes.push({ kind: ChangeKind.Added, table, name: row.name, after: row })
      continue
    }
    if (JSON.stringify(previous) === JSON.stringify(row)) continue
    changes.push({ kind: ChangeKind.Changed, table, name: row.name, before: previous, after: row })
  }
  for (const row of older.values()) {
    changes.push({ kind: ChangeKind.Removed, table, name: row.name, before: row })
  }
  return changes
}
