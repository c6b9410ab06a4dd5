/**
 * Generates docs/log-events.md from the catalogue of log events. Usage: npx tsx scripts/logEventsPage.ts
 * @module
 */
import { writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { LogEvents } from '../src/process/program/logEvents.ts'

const pagePath = fileURLToPath(new URL('../docs/log-events.md', import.meta.url))

/**
 * Formats the catalogue of log events as a Markdown page.
 * @returns text of the page
 */
export function formatLogEventsPage (): string {
  const lines = [
    '# Log events',
    '',
    'This page is written from `src/process/program/logEvents.ts` by `npx tsx scripts/logEventsPage.ts`; a test compares the two.',
    'Each line of the log is JSON with the number in `event`, and, where they apply, `step`, `peer`, `requestId`, `reason`,',
    '`detail` and `value`.',
    '',
    '| event | level | text | what to do |',
    '| --- | --- | --- | --- |'
  ]
  for (const event of Object.values(LogEvents)) lines.push(`| ${event.number} | ${event.level} | ${event.text} | ${event.action} |`)
  return lines.join('\n') + '\n'
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await writeFile(pagePath, formatLogEventsPage())
