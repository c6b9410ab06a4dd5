import { expect } from 'chai'
import { readFile } from 'node:fs/promises'
import { formatLogEventsPage } from '../scripts/logEventsPage.ts'
import { LogEvents } from '../src/process/program/logEvents.ts'

describe('log events', () => {
  // Guards against a page of events that does not match the sources.
  it('are described by docs/log-events.md', async () => {
    expect(await readFile(new URL('../docs/log-events.md', import.meta.url), 'utf8')).to.equal(formatLogEventsPage())
  })

  // Guards against two events that operators can't tell apart by number.
  it('have unique numbers', () => {
    const numbers = Object.values(LogEvents).map(event => event.number)
    expect(new Set<number>(numbers).size).to.equal(numbers.length)
  })
})
