/**
 * Formats rows and status objects as text for operators. Programs should use `--json`.
 * @module
 */

/** Columns with a wall-clock time in milliseconds since the epoch. */
const timeColumns = new Set(['due'])

/**
 * Formats rows as a table with aligned columns.
 * @param rows - objects with the same fields
 * @returns a header line and one line per row
 */
export function formatTable (rows: readonly object[]): string[] {
  const first = rows[0]
  if (first === undefined) return ['(none)']
  const fields = Object.keys(first)
  const cells = [fields, ...rows.map(row => fields.map(field => formatCell(field, (row as Record<string, unknown>)[field])))]
  const widths = fields.map((_, column) => Math.max(...cells.map(line => line[column]?.length ?? 0)))
  return cells.map(line => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}

function formatCell (field: string, value: unknown): string {
  if (timeColumns.has(field) && typeof value === 'number') return new Date(value).toISOString()
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.join(',')
  return value === undefined || value === '' ? '-' : String(value)
}

/**
 * Formats the status of a host: scalar values first, then one table per list.
 * @param status - the status; nested objects are flattened to dotted names
 * @returns the lines
 */
export function formatStatus (status: object): string[] {
  const lines: string[] = []
  const tables: string[] = []
  collectLines('', status, lines, tables)
  return [...lines, ...tables]
}

function collectLines (prefix: string, values: object, lines: string[], tables: string[]): void {
  for (const [name, value] of Object.entries(values) as Array<[string, unknown]>) {
    if (Array.isArray(value) && typeof (value[0] ?? {}) === 'object') {
      tables.push('', `${prefix}${name}`, ...formatTable(value as object[]))
    } else if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      collectLines(`${prefix}${name}.`, value, lines, tables)
    } else {
      lines.push(`${prefix}${name}: ${formatCell(name, value)}`)
    }
  }
}
