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
  // If two changes under the same expected version were accepted, the second would overwrite the first.
  it('accepts one of two concurrent changes and answers the other with the version and the difference', () => {
    const state = createControlState()
    expect(applyTables(state, 0, 'first')).to.deep.equal({ kind: OutcomeKind.Applied, version: 1 })
    const rejected = applyCommand(state, { kind: CommandKind.Apply, operation: 'second', expected: 0, tables: { ...tables, routes: [] } })
    expect(rejected).to.deep.include({ kind: OutcomeKind.Conflict, version: 1 })
    expect(rejected).to.have.property('changes').that.deep.equals([{ kind: 'removed', table: 'routes', name: 'r', before: tables.routes[0] }])
  })

  // An operator who repeats a change after a lost response would otherwise get a conflict with that same change.
  it('answers a repeated operation with its first outcome, also after a restore from a snapshot', () => {
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

  // An id that is used for another change must not return the outcome of the first one as if the change had been applied.
  it('refuses a known operation id with other content', () => {
    const state = createControlState()
    applyTables(state, 0, 'one')
    expect(applyTables(state, 1, 'one')).to.deep.include({ kind: OutcomeKind.Conflict, version: 1 })
    expect(state.configuration.version).to.equal(1)
  })

  // Routes and pools are replaced together; applying the valid part would leave requests of the route without a pool.
  it('refuses a change that leaves a route without its pool and applies no part of it', () => {
    const state = createControlState()
    applyTables(state, 0)
    const outcome = applyCommand(state, { kind: CommandKind.Apply, operation: 'no pool', expected: 1, tables: { routes: tables.routes, pools: [] } })
    expect(outcome.kind).to.equal(OutcomeKind.Invalid)
    expect(state.configuration).to.deep.include({ version: 1, pools: tables.pools })
  })
})

describe('uploads', () => {
  // A caller that lost the response submits the whole job again in a new upload while the first may still be open, and its
  // items must not run twice.
  it('creates one job from uploads with the same key and digest, in any order', () => {
    const state = createControlState()
    applyCommand(state, { kind: CommandKind.OpenUpload, upload: 'slow', account: 'a', key: 'k', route: 'r', due: 0, time: 0 })
    expect(submit(state, 'fast', 2, { key: 'k', digest: 'd' })).to.deep.equal({ kind: OutcomeKind.Job, job: 'fast' })
    const repeatedSeal = { kind: CommandKind.Seal, upload: 'slow', account: 'a', key: 'k', digest: 'd', count: 2, time: 0 } as const
    for (const each of [state, state, restore(state)]) {
      expect(applyCommand(each, repeatedSeal), 'the repeated seal').to.deep.equal({ kind: OutcomeKind.Job, job: 'fast' })
      expect(each.jobs.uploads.size).to.equal(0)
    }
    expect(submit(state, 'other', 2, { key: 'k', digest: 'e' }).kind).to.equal(OutcomeKind.Conflict)
    expect(submit(state, 'other account', 2, { key: 'k', digest: 'e', account: 'b' }).kind).to.equal(OutcomeKind.Job)
    expect(state.jobs.jobs.size).to.equal(2)
  })

  // The seal may have been recorded: with "not run" the caller could submit the items under another key and run them twice.
  it('reports a lost response to the seal as unknown, and one to a chunk as not run', async () => {
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

  // A chunk that is lost before the seal would leave the job without some of its items.
  it('refuses chunks out of sequence and the seal of an upload with a missing chunk', () => {
    const state = createControlState()
    applyCommand(state, { kind: CommandKind.OpenUpload, upload: 'u', account: 'a', key: 'k', route: 'r', due: 0, time: 0 })
    expect(applyCommand(state, { kind: CommandKind.AppendItems, upload: 'u', sequence: 1, items: [], time: 0 }).kind).to.equal(OutcomeKind.Conflict)
    expect(applyCommand(state, { kind: CommandKind.Seal, upload: 'u', account: 'a', key: 'k', digest: 'd', count: 1, time: 0 }).kind).to.equal(OutcomeKind.Conflict)
  })

  // Uploads that a caller abandons hold memory on every control host until they expire.
  it('limits the open uploads of each account', () => {
    const state = createControlState()
    const openUpload = (account: string, upload: string) =>
      applyCommand(state, { kind: CommandKind.OpenUpload, upload, account, key: upload, route: 'r', due: 0, time: 0 }).kind
    for (let number = 0; number < accountUploadLimit; number++) expect(openUpload('a', `a-${number}`)).to.equal(OutcomeKind.Done)
    expect(openUpload('a', 'one too many')).to.equal(OutcomeKind.Limit)
    expect(openUpload('b', 'of another account')).to.equal(OutcomeKind.Done)
  })

  // A chunk that arrives between the leader's decision to discard an idle upload and the discard would be lost.
  it('discards an idle upload only when no chunk has arrived since the decision', () => {
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

  // A former holder that reports late must not replace the result of the first completion, nor end an item that has been
  // granted again.
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

  // A start whose response was lost is sent again; if it were refused, the item would stay with its holder for ever.
  it('accepts a repeated start, but none after a requeue or a cancellation', () => {
    const { state, grants } = createStateWithGrants(2)
    const start = (items: readonly Grant[]) => applyCommand(state, { kind: CommandKind.Start, items })
    expect(start(grants)).to.deep.equal({ kind: OutcomeKind.Started, accepted: [true, true] })
    applyCommand(state, { kind: CommandKind.Requeue, items: [{ ...grants[0] as Grant, partial: '', offset: 0, attempted: false }] })
    expect(start(grants)).to.deep.equal({ kind: OutcomeKind.Started, accepted: [false, true] })
    applyCommand(state, { kind: CommandKind.CancelJob, job: 'j' })
    expect(start(grants)).to.deep.equal({ kind: OutcomeKind.Started, accepted: [false, false] })
  })

  // A started item is not idempotent and may have run; requeued, it could run twice.
  it('ends a started item as unknown when its holder or its response is lost', () => {
    const { state, grants } = createStateWithGrants(3)
    applyCommand(state, { kind: CommandKind.Start, items: grants.slice(0, 2) })
    applyCommand(state, { kind: CommandKind.Requeue, items: [{ ...grants[0] as Grant, partial: '', offset: 0, attempted: true }] })
    applyCommand(state, { kind: CommandKind.ExpireHolder, holder: 'h' })
    expect(grants.map(grant => itemOf(state, grant)?.ending)).to.deep.equal([Ending.Unknown, Ending.Unknown, undefined])
  })

  // An item that fails every attempt would otherwise be requeued without end. Requeues without an attempt don't count.
  it('ends an item as failed with its reason after three attempts that ran', () => {
    const { state } = createStateWithGrants(1)
    let grants = claim(state, 1, 1)
    for (let attempt = 1; attempt <= 4; attempt++) {
      const attempted = attempt !== 2
      applyCommand(state, { kind: CommandKind.Requeue, items: [{ ...grants[0] as Grant, partial: 'x', offset: 1, attempted, reason: 'no answer' }] })
      if (attempt < 4) grants = claim(state, attempt + 1, 1)
    }
    expect(itemOf(state, grants[0] as Grant)).to.deep.include({ ending: Ending.Failed, result: 'gave up after 3 attempts: no answer' })
  })

  // A claim that timed out may be applied after a newer one; no host would run or requeue the items granted to it.
  it('grants nothing to a claim that is older than the last one of its lease', () => {
    const { state } = createStateWithGrants(1)
    submit(state, 'k', 2)
    claim(state, 3, 1)
    const lateOutcome = applyCommand(state, { kind: CommandKind.Claim, backendServer: 'b', holder: 'h', lease: 1, sequence: 2, pool: 'p', count: 1 })
    expect(lateOutcome.kind).to.equal(OutcomeKind.Conflict)
  })

  // A holder can't requeue the grants of a response that it never received; they would stay with it for ever.
  it('requeues the grants of a claim whose response was never received', () => {
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
