import { expect } from 'chai'
import { findOpenItemState, type OpenItemContext, summarizeOpenItems } from '../src/process/fleet/openItemStates.ts'
import type { ActiveRun, OpenItem } from '../src/process/fleet/openItems.ts'
import type { SubmissionRecord } from '../src/process/jobs/submissions.ts'

const now = 1_000

function entryOf (id: string, changes: Partial<OpenItem> = {}): OpenItem {
  const item = { id, path: '/p/1', headers: {}, body: Buffer.from(''), tokens: 1 }
  return { key: `j ${id}`, record: {} as unknown as SubmissionRecord, item, interruptions: 0, runTimeMs: 0, startAfter: 0, waitingSince: undefined, currentRuns: undefined, run: undefined, isEnding: false, ...changes }
}

function runOf (changes: Partial<ActiveRun> = {}): ActiveRun {
  return { id: 'a/1/1', server: 'i-1', executor: 'e-1', softwareVersion: 'v1', hasOutput: false, isInterrupted: false, ...changes }
}

function contextOf (isListed: boolean | undefined, isBlocked = false): OpenItemContext {
  return { now, isListed: () => isListed, isBlocked: () => isBlocked }
}

describe('states of open items', () => {
  // Guards against an item that is neither run nor ended, and of which the log does not tell why.
  it('tell a run that no executor lists from one in progress, and what an item without a run waits for', () => {
    const run = runOf()
    const stopping = runOf({ isInterrupted: true })
    expect(findOpenItemState(entryOf('a', { run }), contextOf(true))).to.equal('running')
    expect(findOpenItemState(entryOf('a', { run }), contextOf(undefined))).to.equal('sent')
    expect(findOpenItemState(entryOf('a', { run }), contextOf(false))).to.equal('unlisted')
    expect(findOpenItemState(entryOf('a', { run: stopping }), contextOf(true))).to.equal('stopping')
    expect(findOpenItemState(entryOf('a', { run, isEnding: true }), contextOf(true))).to.equal('ending')
    expect(findOpenItemState(entryOf('a', { startAfter: now + 1 }), contextOf(undefined))).to.equal('delayed')
    expect(findOpenItemState(entryOf('a'), contextOf(undefined, true))).to.equal('blocked')
    expect(findOpenItemState(entryOf('a'), contextOf(undefined))).to.equal('startable')
  })

  it('are counted, and the items accepted first are named', () => {
    const { total, counts, oldest } = summarizeOpenItems([entryOf('a', { run: runOf() }), entryOf('b'), entryOf('c')], contextOf(false))
    expect(total).to.equal(3)
    expect([...counts]).to.deep.equal([['unlisted', 1], ['startable', 2]])
    expect(oldest).to.deep.equal(['j a unlisted a/1/1 e-1', 'j b startable'])
  })
})
