import { expect } from 'chai'
import { okAsync } from 'neverthrow'
import { createOpenItems, type OpenItem } from '../src/process/fleet/openItems.ts'
import { recordRunReports } from '../src/process/fleet/runReports.ts'
import { RunEnd } from '../src/request/submittedItemRun.ts'
import { CommandKind } from '../src/process/state/commands.ts'
import { applyCommand, createControlState } from '../src/process/state/controlState.ts'

describe('reports of runs', () => {
  // Failure (LOST): the session of an executor ended while its report was being recorded, and its next poll had the run adopted again. The
  // report was accepted, but the end did not count for the adopted run, and the item waited for it for ever.
  it('end a run that was adopted again while they were being recorded', async () => {
    const state = createControlState()
    const items = createOpenItems()
    const submission = { id: 'j', host: 'a.example', route: 'r', pathPrefix: '/p/', acceptedAt: 0, giveUpAt: 0, items: [{ id: 'a', path: '/p/1', headers: {}, body: Buffer.from('body'), tokens: 10 }] }
    applyCommand(state, { kind: CommandKind.Submit, submission, tokenLimit: 0, giveUpMs: 0, time: 0 })
    items.synchronize(state.submissions)
    const entry = items.find('j a') as OpenItem
    entry.run = { id: 'a/1/1', server: 'i-1', executor: 'e-1', softwareVersion: 'v1', hasOutput: false, isInterrupted: false }
    const report = { run: 'a/1/1', job: 'j', item: 'a', from: 0, data: ['x'], lastEvent: 0, end: RunEnd.Interrupted, isUnreachable: false, durationMs: 1 }
    const ended: unknown[] = []
    const recorded = await recordRunReports({ holder: 'e-1', reports: [report] }, {
      items,
      replica: {
        propose (command) {
          entry.run = undefined
          entry.run = { id: 'a/1/1', server: 'i-1', executor: 'e-1', softwareVersion: 'v1', hasOutput: true, isInterrupted: false }
          return okAsync(applyCommand(state, command))
        }
      },
      getAttempts: () => 1,
      handleEnd: ({ run }) => ended.push(run),
      release () {}
    })
    expect(recorded.isOk()).to.equal(true)
    expect(ended).to.deep.equal([entry.run])
  })
})
