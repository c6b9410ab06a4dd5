import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import { CommandKind, Ending, type Grant, type Outcome, OutcomeKind } from '../src/process/state/commands.ts'
import { applyCommand, type ControlState, createControlState } from '../src/process/state/controlState.ts'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import { createIdleUploads, uploadIdleTimeoutMs } from '../src/process/jobs/idleUploads.ts'
import { accountUploadLimit } from '../src/process/jobs/uploads.ts'
import { uploadJob } from '../src/request/jobUpload.ts'
import { acquireLease, applyTables, claim, restore, submit, tables } from './support/stateCommands.ts'

function itemOf (state: ControlState, grant: Grant) {
  return state.jobs.jobs.get(grant.job)?.items[grant.position]
}

function complete (state: ControlState, grant: Grant, result: string): Outcome {
  return applyCommand(state, { kind: CommandKind.Complete, completions: [{ ...grant, ending: Ending.Done, result }] })
}

describe('changes of the tables', () => {
  // Two accepted changes under one expected version would lose the first one.
  it('lets one of two racing operators win and tells the other version and difference', () => {
    const state = createControlState()
    expect(applyTables(state, 0, 'first')).to.deep.equal({ kind: OutcomeKind.Applied, version: 1 })
    const rejected = applyCommand(state, { kind: CommandKind.Apply, operation: 'second', expected: 0, tables: { ...tables, routes: [] } })
    expect(rejected).to.deep.include({ kind: OutcomeKind.Conflict, version: 1 })
    expect(rejected).to.have.property('changes').that.deep.equals([{ kind: 'removed', table: 'routes', name: 'r', before: tables.routes[0] }])
  })

  // An operator who lost the answer would otherwise see a conflict with the own change.
  it('answers an operation sent again with its first outcome, also from a snapshot', () => {
    const state = createControlState()
    const first = applyTables(state, 0, 'one')
    const rejected = applyTables(state, 0, 'two')
    applyTables(state, 1, 'three')
    for (const each of [state, restore(state)]) {
      expect(applyTables(each, 0, 'one')).to.deep.equal(first)
      expect(applyTables(each, 0, 'two')).to.deep.equal(rejected)
      expect(each.configuration.version).to.equal(2)
    }
  })

  it('refuses an operation id with other content', () => {
    const state = createControlState()
    applyTables(state, 0, 'one')
    expect(applyTables(state, 1, 'one')).to.deep.include({ kind: OutcomeKind.Conflict, version: 1 })
    expect(state.configuration.version).to.equal(1)
  })

  it('refuses a change that leaves a route without its pool, whole', () => {
    const state = createControlState()
    applyTables(state, 0)
    const outcome = applyCommand(state, { kind: CommandKind.Apply, operation: 'no pool', expected: 1, tables: { routes: tables.routes, pools: [] } })
    expect(outcome.kind).to.equal(OutcomeKind.Invalid)
    expect(state.configuration).to.deep.include({ version: 1, pools: tables.pools })
  })
})

describe('uploads', () => {
  // A caller that lost the answer submits the whole job again, with a new upload, while the first may still be open.
  it('makes one job of uploads with the same key and digest, in any order', () => {
    const state = createControlState()
    applyCommand(state, { kind: CommandKind.OpenUpload, upload: 'slow', account: 'a', key: 'k', route: 'r', due: 0, time: 0 })
    expect(submit(state, 'fast', 2, { key: 'k', digest: 'd' })).to.deep.equal({ kind: OutcomeKind.Job, job: 'fast' })
    const repeatedSeal = { kind: CommandKind.Seal, upload: 'slow', account: 'a', key: 'k', digest: 'd', count: 2, time: 0 } as const
    for (const each of [state, state, restore(state)]) {
      expect(applyCommand(each, repeatedSeal), 'the seal whose answer was lost').to.deep.equal({ kind: OutcomeKind.Job, job: 'fast' })
      expect(each.jobs.uploads.size).to.equal(0)
    }
    expect(submit(state, 'other', 2, { key: 'k', digest: 'e' }).kind).to.equal(OutcomeKind.Conflict)
    expect(submit(state, 'other account', 2, { key: 'k', digest: 'e', account: 'b' }).kind).to.equal(OutcomeKind.Job)
    expect(state.jobs.jobs.size).to.equal(2)
  })

  // The seal may have been recorded: "not run" would let the caller submit the items under another key.
  it('reports a lost answer to the seal as unknown, and one to a chunk as not run', async () => {
    for (const [failingKind, execution] of [[CommandKind.Seal, 'unknown'], [CommandKind.AppendItems, 'not run']] as const) {
      const control: any = {
        execute: async ({ kind }: { kind: CommandKind }) =>
          kind === failingKind ? err(createFailure(FailureReason.Timeout, { step: Step.Execute }, 'no answer')) : ok({ kind: OutcomeKind.Done })
      }
      const body = new Blob(['{"name": "i", "input": "x"}']).stream()
      const uploaded = await uploadJob({ account: 'a', key: 'k', route: 'r', due: 0 }, body, control)
      expect(uploaded._unsafeUnwrapErr().execution).to.equal(execution)
    }
  })

  it('seals no upload with a chunk missing', () => {
    const state = createControlState()
    applyCommand(state, { kind: CommandKind.OpenUpload, upload: 'u', account: 'a', key: 'k', route: 'r', due: 0, time: 0 })
    expect(applyCommand(state, { kind: CommandKind.AppendItems, upload: 'u', sequence: 1, items: [], time: 0 }).kind).to.equal(OutcomeKind.Conflict)
    expect(applyCommand(state, { kind: CommandKind.Seal, upload: 'u', account: 'a', key: 'k', digest: 'd', count: 1, time: 0 }).kind).to.equal(OutcomeKind.Conflict)
  })

  it('bounds the open uploads of an account', () => {
    const state = createControlState()
    const openUpload = (account: string, upload: string) =>
      applyCommand(state, { kind: CommandKind.OpenUpload, upload, account, key: upload, route: 'r', due: 0, time: 0 }).kind
    for (let number = 0; number < accountUploadLimit; number++) expect(openUpload('a', `a-${number}`)).to.equal(OutcomeKind.Done)
    expect(openUpload('a', 'one too many')).to.equal(OutcomeKind.Limit)
    expect(openUpload('b', 'of another account')).to.equal(OutcomeKind.Done)
  })

  // A chunk that arrives between the leader's decision and the discard would be lost.
  it('discards an upload only when it stayed quiet', () => {
    const state = createControlState()
    const idleUploads = createIdleUploads()
    applyCommand(state, { kind: CommandKind.OpenUpload, upload: 'u', account: 'a', key: 'k', route: 'r', due: 0, time: 0 })
    expect(idleUploads.find(state.jobs.uploads.values(), 0)).to.deep.equal([])
    const idle = idleUploads.find(state.jobs.uploads.values(), uploadIdleTimeoutMs)
    expect(idle.map(upload => upload.id)).to.deep.equal(['u'])
    applyCommand(state, { kind: CommandKind.AppendItems, upload: 'u', sequence: 0, items: [], time: 0 })
    applyCommand(state, { kind: CommandKind.DiscardUpload, upload: 'u', sequence: 0 })
    expect(state.jobs.uploads.has('u')).to.equal(true)
    expect(idleUploads.find(state.jobs.uploads.values(), uploadIdleTimeoutMs * 1.5)).to.deep.equal([])
    applyCommand(state, { kind: CommandKind.DiscardUpload, upload: 'u', sequence: 1 })
    expect(state.jobs.uploads.has('u')).to.equal(false)
  })
})

describe('items', () => {
  function createStateWithGrants (count: number): { readonly state: ControlState, readonly grants: readonly Grant[] } {
    const state = createControlState()
    applyTables(state, 0)
    acquireLease(state)
    submit(state, 'j', count)
    return { state, grants: claim(state, 1, count) }
  }

  it('keeps the first completion and ignores one under an old grant', () => {
    const { state, grants: [first, second] } = createStateWithGrants(2)
    if (first === undefined || second === undefined) throw new Error('no grants')
    complete(state, first, 'first')
    complete(state, first, 'again')
    expect(itemOf(state, first)?.result).to.equal('first')
    applyCommand(state, { kind: CommandKind.ExpireHolder, holder: 'h' })
    expect(state.leases.get('b')).to.deep.equal({ holder: undefined, number: 1 })
    applyCommand(state, { kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'g', expected: 1 })
    applyCommand(state, { kind: CommandKind.Claim, backendServer: 'b', holder: 'g', lease: 2, sequence: 1, pool: 'p', count: 1 })
    complete(state, second, 'late')
    expect(itemOf(state, second)).to.deep.include({ ending: undefined, holder: 'g' })
    expect(itemOf(state, second)?.grant).to.be.greaterThan(second.grant)
  })

  // A start whose answer was lost is sent again; refusing it would leave the item with its holder for ever.
  it('accepts a start sent again, and none after a return or a cancellation', () => {
    const { state, grants } = createStateWithGrants(2)
    const start = (items: readonly Grant[]) => applyCommand(state, { kind: CommandKind.Start, items })
    expect(start(grants)).to.deep.equal({ kind: OutcomeKind.Started, accepted: [true, true] })
    applyCommand(state, { kind: CommandKind.Requeue, items: [{ ...grants[0] as Grant, partial: '', offset: 0, attempted: false }] })
    expect(start(grants)).to.deep.equal({ kind: OutcomeKind.Started, accepted: [false, true] })
    applyCommand(state, { kind: CommandKind.CancelJob, job: 'j' })
    expect(start(grants)).to.deep.equal({ kind: OutcomeKind.Started, accepted: [false, false] })
  })

  it('ends a started item as unknown when its holder or its answer is lost', () => {
    const { state, grants } = createStateWithGrants(3)
    applyCommand(state, { kind: CommandKind.Start, items: grants.slice(0, 2) })
    applyCommand(state, { kind: CommandKind.Requeue, items: [{ ...grants[0] as Grant, partial: '', offset: 0, attempted: true }] })
    applyCommand(state, { kind: CommandKind.ExpireHolder, holder: 'h' })
    expect(grants.map(grant => itemOf(state, grant)?.ending)).to.deep.equal([Ending.Unknown, Ending.Unknown, undefined])
  })

  it('ends an item as failed with its reason after three attempts that ran, and the job with it', () => {
    const { state } = createStateWithGrants(1)
    let grants = claim(state, 1, 1)
    for (let attempt = 1; attempt <= 4; attempt++) {
      const attempted = attempt !== 2
      applyCommand(state, { kind: CommandKind.Requeue, items: [{ ...grants[0] as Grant, partial: 'x', offset: 1, attempted, reason: 'no answer' }] })
      if (attempt < 4) grants = claim(state, attempt + 1, 1)
    }
    expect(itemOf(state, grants[0] as Grant)).to.deep.include({ ending: Ending.Failed, result: 'gave up after 3 attempts: no answer' })
  })

  // A claim that times out may be applied after a newer one; nobody would ever run or return its items.
  it('grants nothing to a claim that arrives late', () => {
    const { state } = createStateWithGrants(1)
    submit(state, 'k', 2)
    claim(state, 3, 1)
    const lateOutcome = applyCommand(state, { kind: CommandKind.Claim, backendServer: 'b', holder: 'h', lease: 1, sequence: 2, pool: 'p', count: 1 })
    expect(lateOutcome.kind).to.equal(OutcomeKind.Conflict)
  })

  it('takes back the grants of a claim that was never received', () => {
    const { state } = createStateWithGrants(2)
    applyCommand(state, { kind: CommandKind.ReleaseLease, backendServer: 'b', holder: 'h', number: 1, received: 1 })
    expect(state.jobs.held.get('h')?.size, 'received').to.equal(2)
    applyCommand(state, { kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'h', expected: 1 })
    submit(state, 'k', 2)
    applyCommand(state, { kind: CommandKind.Claim, backendServer: 'b', holder: 'h', lease: 2, sequence: 1, pool: 'p', count: 2 })
    applyCommand(state, { kind: CommandKind.ReleaseLease, backendServer: 'b', holder: 'h', number: 2, received: 0 })
    expect([...state.jobs.held.get('h')?.values() ?? []].map(held => held.job), 'not received').to.deep.equal(['j', 'j'])
  })
})
