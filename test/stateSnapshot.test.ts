import { expect } from 'chai'
import { pack, unpack } from 'msgpackr'
import { CommandKind, Ending, type Grant, OutcomeKind, Priority } from '../src/process/state/commands.ts'
import { applyCommand, type ControlState, createControlState } from '../src/process/state/controlState.ts'
import { exportState, importState } from '../src/process/state/stateSnapshot.ts'
import { applyTables, claim, restore, submit } from './support/stateCommands.ts'

// A snapshot that loses a record, or restores the records in another order, makes replicas diverge.
describe('state snapshot', () => {
  function createPopulatedState (): { readonly state: ControlState, readonly grants: readonly Grant[] } {
    const state = createControlState()
    applyTables(state, 0)
    applyTables(state, 0, 'lost the race')
    applyCommand(state, { kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'h', expected: 0 })
    submit(state, 'one', 500, { priority: position => position % 2 === 0 ? Priority.Ordinary : Priority.RoundSheet })
    submit(state, 'two', 3)
    applyCommand(state, { kind: CommandKind.OpenUpload, upload: 'open', account: 'a', key: 'open', route: 'r', due: 0, time: 0 })
    applyCommand(state, { kind: CommandKind.AppendItems, upload: 'open', sequence: 0, items: [{ name: 'x', input: 'x', maxTokens: 1, priority: 0 }], time: 0 })
    const grants = claim(state, 1, 40)
    applyCommand(state, { kind: CommandKind.Start, items: grants.slice(0, 4) })
    applyCommand(state, { kind: CommandKind.Complete, completions: grants.slice(4, 10).map(grant => ({ ...grant, ending: Ending.Done, result: 'text' })) })
    applyCommand(state, { kind: CommandKind.Requeue, items: grants.slice(10, 20).map(grant => ({ ...grant, partial: 'so far', offset: 2, attempted: true })) })
    applyCommand(state, { kind: CommandKind.CancelJob, job: 'two' })
    return { state, grants }
  }

  // An import that drops or reorders records shows up as a difference between the two exports.
  it('exports the same parts again after an import', () => {
    const { state } = createPopulatedState()
    const parts = [...exportState(state)].map(part => unpack(pack(part)) as object)
    expect([...exportState(importState(parts))]).to.deep.equal([...exportState(state)])
  })

  // Waiting items, held grants and counters are not exported but rebuilt; an error there shows only in later commands.
  it('yields the same outcomes of later commands as the original state', () => {
    const { state, grants } = createPopulatedState()
    const restored = restore(state)
    expect(claim(restored, 1, 40), 'the repeated claim').to.deep.equal(claim(state, 1, 40))
    for (const each of [state, restored]) {
      applyCommand(each, { kind: CommandKind.ExpireHolder, holder: 'h' })
      applyCommand(each, { kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'g', expected: 1 })
    }
    const next = applyCommand(state, { kind: CommandKind.Claim, backendServer: 'b', holder: 'g', lease: 2, sequence: 1, pool: 'p', count: 600 })
    expect(next).to.have.property('grants').with.length(490)
    expect(applyCommand(restored, { kind: CommandKind.Claim, backendServer: 'b', holder: 'g', lease: 2, sequence: 1, pool: 'p', count: 600 })).to.deep.equal(next)
    const late = { ...grants[30] as Grant, ending: Ending.Done, result: 'late' }
    applyCommand(restored, { kind: CommandKind.Complete, completions: [late] })
    expect(restored.jobs.jobs.get('one')?.done, 'a completion under an old grant').to.equal(state.jobs.jobs.get('one')?.done)
  })

  // An item begins anew after a restart of a control host if the snapshot loses the software version of its saved events.
  it('keeps the software version of saved progress, and its absence', () => {
    const state = createControlState()
    const items = ['known', 'unknown'].map(id => ({ id, path: '/', headers: {}, body: Buffer.from('body'), tokens: 1 }))
    applyCommand(state, { kind: CommandKind.Submit, submission: { id: 'j', host: 'h', route: 'r', pathPrefix: '/', acceptedAt: 0, giveUpAt: 0, items }, tokenLimit: 0, giveUpMs: 0, time: 0 })
    const piece = { job: 'j', from: 0, data: ['x'], lastEvent: 0, run: 'r/1' }
    applyCommand(state, { kind: CommandKind.SaveProgress, pieces: [{ ...piece, item: 'known', softwareVersion: 'v1' }, { ...piece, item: 'unknown' }] })
    expect([...restore(state).submissions.jobs.get('j')?.progress ?? []]).to.deep.equal([
      ['known', { data: ['x'], lastEvent: 0, run: 'r/1', softwareVersion: 'v1' }],
      ['unknown', { data: ['x'], lastEvent: 0, run: 'r/1' }]
    ])
  })

  // A part has to fit into one record of the log and one message between hosts.
  it('limits the size of each part', () => {
    const state = createControlState()
    applyTables(state, 0)
    submit(state, 'large', 300, { input: 'x'.repeat(60_000) })
    const sizes = [...exportState(state)].map(part => pack(part).length)
    expect(Math.max(...sizes)).to.be.lessThan(256 * 1024)
  })

  // A truncated export would be imported as a state that lacks the last records.
  it('refuses an export whose last part is missing', () => {
    const parts = [...exportState(createPopulatedState().state)]
    expect(() => importState(parts.slice(0, -1))).to.throw('last part')
  })

  // Parts that share objects with the state would change while the snapshot is written.
  it('is not changed by commands that are applied after the export', () => {
    const { state, grants } = createPopulatedState()
    const parts = [...exportState(state)]
    const before = pack(parts)
    const outcome = applyCommand(state, { kind: CommandKind.Complete, completions: [{ ...grants[35] as Grant, ending: Ending.Done, result: 'later' }] })
    expect(outcome.kind).to.equal(OutcomeKind.Done)
    expect(pack(parts).equals(before)).to.equal(true)
  })
})
