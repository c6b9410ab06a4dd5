import { expect } from 'chai'
import { type Command, CommandKind, Ending, OutcomeKind } from '../src/process/state/commands.ts'
import { answerQuery, applyCommand, type ControlState, createControlState } from '../src/process/state/controlState.ts'
import { QueryKind } from '../src/process/state/queries.ts'
import { decodeFrames, encodeFrame, encodeRecord } from '../src/process/log/recordCodec.ts'
import { exportState, importState } from '../src/process/state/stateSnapshot.ts'
import { countOutputBytes } from '../src/process/jobs/outputSpace.ts'
import type { SubmittedItem } from '../src/process/jobs/submission.ts'
import { readResults } from '../src/process/jobs/submissions.ts'
import { tablesOf } from './support/fakeFleet.ts'

function itemOf (id: string, tokens = 100): SubmittedItem {
  return { id, path: '/p/1', headers: { 'X-Model': 'm' }, body: Buffer.from(`body of ${id}`), tokens }
}

function submitOf (id: string, items: readonly SubmittedItem[], tokenLimit = 0, time = 1_000): Command {
  const submission = { id, host: 'a.example', route: 'r', pathPrefix: '/p/', acceptedAt: 0, giveUpAt: 0, items }
  return { kind: CommandKind.Submit, submission, tokenLimit, giveUpMs: 60_000, time }
}

function finishOf (job: string, item: string, output = `output of ${item}`): Command {
  return { kind: CommandKind.FinishItems, results: [{ job, item, ending: Ending.Done, output }] }
}

function publishOf (version: number, digest: string): Command {
  return { kind: CommandKind.Publish, publication: { tables: tablesOf(version, []), document: `document ${digest}`, digest } }
}

function resultsOf (state: ControlState, job: string, after = 0): string[] | undefined {
  const answer = answerQuery(state, { kind: QueryKind.SubmissionResults, job, after, waitMs: 0 })
  return answer.kind === QueryKind.SubmissionResults ? answer.page?.results.map(result => result.item) : undefined
}

function bodyOf (state: ControlState, job: string, item: string): string | undefined {
  const answer = answerQuery(state, { kind: QueryKind.SubmittedBody, job, item })
  if (answer.kind !== QueryKind.SubmittedBody || answer.body === undefined) return undefined
  return Buffer.from(answer.body).toString()
}

describe('published tables', () => {
  // Guards against an older version replacing a newer one when operators publish at the same time or repeat a call.
  it('keeps the highest version in force, and accepts repeated and older versions', () => {
    const state = createControlState()
    for (const [version, inForce] of [[3, 3], [3, 3], [7, 7], [3, 7], [6, 7]] as const) {
      expect(applyCommand(state, publishOf(version, `v${version}`))).to.deep.equal({ kind: OutcomeKind.Applied, version: inForce })
    }
    expect(state.publication?.document).to.equal('document v7')
  })

  // Guards against hosts with different tables under one version.
  it('refuses other content under the version in force', () => {
    const state = createControlState()
    applyCommand(state, publishOf(3, 'one'))
    expect(applyCommand(state, publishOf(3, 'other')).kind).to.equal(OutcomeKind.Conflict)
    expect(state.publication?.document).to.equal('document one')
  })
})

describe('gateway jobs', () => {
  // Guards against a repeated submission that runs the items again or drops their results.
  it('accepts a job once, and returns the same outcome for a repeated submission', () => {
    const state = createControlState()
    const outcome = applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b')]))
    applyCommand(state, finishOf('j', 'a'))
    expect(applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b')]))).to.deep.equal(outcome)
    expect(resultsOf(state, 'j')).to.deep.equal(['a'])
  })

  // Guards against results that change or move after a caller has read them.
  it('keeps the first result of an item, in the order in which items finished', () => {
    const state = createControlState()
    applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b')]))
    for (const command of [finishOf('j', 'b'), finishOf('j', 'b', 'other'), finishOf('j', 'a'), finishOf('j', 'x')]) applyCommand(state, command)
    const answer = answerQuery(state, { kind: QueryKind.SubmissionResults, job: 'j', after: 0, waitMs: 0 })
    expect(answer).to.deep.equal({
      kind: QueryKind.SubmissionResults,
      page: {
        total: 2,
        next: 2,
        results: [{ item: 'b', ending: Ending.Done, output: 'output of b' }, { item: 'a', ending: Ending.Done, output: 'output of a' }]
      }
    })
    expect(resultsOf(state, 'j', 1)).to.deep.equal(['a'])
    expect(resultsOf(state, 'unknown')).to.equal(undefined)
  })

  // Guards against tokens that are counted twice or never released when items finish or their job is ended.
  it('counts the waiting tokens of all jobs of a route until their items end', () => {
    const state = createControlState()
    expect(applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b')], 250)).kind).to.equal(OutcomeKind.Job)
    expect(applyCommand(state, submitOf('k', [itemOf('c')], 250)).kind).to.equal(OutcomeKind.Limit)
    expect(resultsOf(state, 'k')).to.equal(undefined)
    applyCommand(state, finishOf('j', 'a'))
    expect(applyCommand(state, submitOf('k', [itemOf('c')], 250)).kind).to.equal(OutcomeKind.Job)
    expect(applyCommand(state, submitOf('l', [itemOf('d')], 250)).kind).to.equal(OutcomeKind.Limit)
    for (const job of ['j', 'j']) applyCommand(state, { kind: CommandKind.EndSubmission, job })
    expect(applyCommand(state, submitOf('l', [itemOf('d')], 250)).kind).to.equal(OutcomeKind.Job)
    applyCommand(state, finishOf('j', 'b'))
    expect(applyCommand(state, submitOf('m', [itemOf('e')], 250)).kind).to.equal(OutcomeKind.Limit)
  })

  // Guards against running an item that has a result or whose job was ended.
  it('returns the body of an item without a result until its job is ended', () => {
    const state = createControlState()
    applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b')]))
    applyCommand(state, finishOf('j', 'a'))
    expect(bodyOf(state, 'j', 'a')).to.equal(undefined)
    expect(bodyOf(state, 'j', 'b')).to.equal('body of b')
    applyCommand(state, { kind: CommandKind.EndSubmission, job: 'j' })
    expect(bodyOf(state, 'j', 'b')).to.equal(undefined)
  })

  // Guards against dropping a job whose items are still to run.
  it('purges only jobs without open items', () => {
    const state = createControlState()
    applyCommand(state, submitOf('open', [itemOf('a')]))
    applyCommand(state, submitOf('closed', [itemOf('b')]))
    applyCommand(state, finishOf('closed', 'b'))
    applyCommand(state, { kind: CommandKind.PurgeSubmissions, jobs: ['open', 'closed'] })
    expect([...state.submissions.jobs.keys()]).to.deep.equal(['open'])
  })

  // Failure: with the gateway's state missing from snapshots, a restart would lose acknowledged jobs and tables.
  it('restores the same state from its export', () => {
    const state = createControlState()
    applyCommand(state, publishOf(3, 'one'))
    applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b'), itemOf('c')], 1_000))
    applyCommand(state, submitOf('k', [itemOf('d')], 1_000))
    applyCommand(state, finishOf('j', 'b'))
    applyCommand(state, { kind: CommandKind.EndSubmission, job: 'k' })
    const copy = importState([...exportState(state)])
    expect(copy.publication).to.deep.equal(state.publication)
    expect(copy.submissions).to.deep.equal(state.submissions)
  })

  // Failure: the bodies of finished items stayed in memory and in each snapshot for as long as the results can be read, until
  // control processes exceeded their memory limit.
  it('drops the bodies of items that have a result or whose job has ended', () => {
    const state = createControlState()
    const largeItem = (id: string): SubmittedItem => ({ ...itemOf(id), body: Buffer.alloc(50_000) })
    const exportedBytes = (): number => [...exportState(state)].reduce((sum, part) => sum + encodeRecord(part).length, 0)
    applyCommand(state, submitOf('j', [largeItem('a'), largeItem('b')]))
    applyCommand(state, submitOf('k', [largeItem('c')]))
    expect(exportedBytes()).to.be.above(150_000)
    applyCommand(state, finishOf('j', 'a'))
    expect(exportedBytes()).to.be.within(100_000, 110_000)
    applyCommand(state, { kind: CommandKind.EndSubmission, job: 'j' })
    applyCommand(state, finishOf('k', 'c'))
    expect(exportedBytes()).to.be.below(5_000)
    const copy = importState([...exportState(state)])
    expect(copy.submissions.jobs).to.deep.equal(state.submissions.jobs)
    expect([resultsOf(copy, 'j'), resultsOf(copy, 'k')]).to.deep.equal([['a'], ['c']])
    expect(copy.submissions.jobs.get('j')?.total).to.equal(2)
  })

  // Failure: the count was in the leader's memory, so an item that fails at each run got all attempts from each new leader.
  it('keeps the number of failed runs of an item until it has a result', () => {
    const state = createControlState()
    applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b')]))
    const fail = (item: string, count: number): unknown => applyCommand(state, { kind: CommandKind.RecordFailures, failures: [{ job: 'j', item, count }] })
    for (const count of [1, 2, 2, 1]) fail('a', count)
    fail('b', 1)
    fail('unknown', 1)
    const failures = state.submissions.jobs.get('j')?.failures
    expect([...failures ?? []]).to.deep.equal([['a', 2], ['b', 1]])
    expect(importState([...exportState(state)]).submissions).to.deep.equal(state.submissions)
    applyCommand(state, finishOf('j', 'a'))
    fail('a', 3)
    expect([...failures ?? []]).to.deep.equal([['b', 1]])
    applyCommand(state, { kind: CommandKind.EndSubmission, job: 'j' })
    expect(failures?.size).to.equal(0)
  })

  // Guards against outputs that come back with other characters, and against a control host that needs the space of two outputs for one.
  it('keeps results in less space than their characters take, and returns them unchanged, also from a snapshot', () => {
    const state = createControlState(true)
    applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b')]))
    const words = Array.from({ length: 150 }, (_, index) => `${index}.${(index * 7_919).toString(16)}.wörd-€-😀-${(index * 104_729 % 65_521).toString(36)}`).join('\n')
    applyCommand(state, finishOf('j', 'a', words))
    applyCommand(state, finishOf('j', 'b', 'short'))
    expect(countOutputBytes(state.submissions)).to.be.below(words.length * 0.7)
    for (const { submissions } of [state, importState(decodeFrames(encodeFrame(0, [...exportState(state)].map(encodeRecord))).records as object[], true), importState([...exportState(state)])]) {
      const record = submissions.jobs.get('j')
      expect(record === undefined ? [] : readResults(record, 0).results.map(({ output }) => output)).to.deep.equal([words, 'short'])
    }
  })

  // Guards against a snapshot that hosts of an earlier version cannot read while some of them are left, or after a way back.
  it('keeps results as texts unless the settings say otherwise, also those of a compressed snapshot', () => {
    const outputs = (state: ControlState): unknown[] => state.submissions.jobs.get('j')?.results.map(({ output }) => output) ?? []
    const [texts, compressed] = [createControlState(), createControlState(true)]
    for (const state of [texts, compressed]) {
      applyCommand(state, submitOf('j', [itemOf('a')]))
      applyCommand(state, finishOf('j', 'a', 'x'.repeat(1_000)))
    }
    expect(outputs(texts)).to.deep.equal(['x'.repeat(1_000)])
    expect(outputs(compressed)[0]).to.be.instanceOf(Uint8Array)
    expect(outputs(importState([...exportState(compressed)]))).to.deep.equal(['x'.repeat(1_000)])
  })

  // Guards against a control host that cannot read the snapshot of an earlier version of this program, which has texts as outputs.
  it('reads results that were kept as texts', () => {
    const state = createControlState()
    applyCommand(state, submitOf('j', [itemOf('a')]))
    applyCommand(state, finishOf('j', 'a', 'x'.repeat(1_000)))
    const chunks = [...exportState(state)].map(part => 'records' in part && (part as { kind?: string }).kind === 'item results' ? { ...part, records: [{ item: 'a', ending: Ending.Done, output: 'x'.repeat(1_000) }] } : part)
    const record = importState(chunks).submissions.jobs.get('j')
    expect(record === undefined ? [] : readResults(record, 0).results).to.deep.equal([{ item: 'a', ending: Ending.Done, output: 'x'.repeat(1_000) }])
  })

  // Guards against a size that drifts from the state, so that no item is started, or too many are.
  it('counts the characters of results and saved progress', () => {
    const state = createControlState()
    applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b')]))
    applyCommand(state, submitOf('k', [itemOf('c')]))
    const save = (item: string, from: number, data: string[], run: string): unknown =>
      applyCommand(state, { kind: CommandKind.SaveProgress, pieces: [{ job: 'j', item, from, data, lastEvent: from + data.length - 1, run }] })
    const expectSize = (size: number): void => {
      expect(countOutputBytes(state.submissions)).to.equal(size)
      expect(countOutputBytes(importState([...exportState(state)]).submissions)).to.equal(size)
    }
    save('a', 0, ['xx', 'yy'], 'r/1')
    save('a', 1, ['z'], 'r/2')
    save('b', 0, ['bbb'], 'r/3')
    expectSize(6)
    applyCommand(state, finishOf('j', 'a', 'done'))
    applyCommand(state, finishOf('k', 'c', 'ccccc'))
    expectSize(12)
    applyCommand(state, { kind: CommandKind.EndSubmission, job: 'j' })
    expectSize(9)
    applyCommand(state, { kind: CommandKind.PurgeSubmissions, jobs: ['j', 'k'] })
    expectSize(0)
  })

  // Guards against an item that is given up before its attempts are used up, since one failed run was recorded by two leaders.
  it('counts each failed run of an item once, also after a snapshot', () => {
    let state = createControlState()
    applyCommand(state, submitOf('j', [itemOf('a')]))
    const fail = (count: number, run: string): unknown => applyCommand(state, { kind: CommandKind.RecordFailures, failures: [{ job: 'j', item: 'a', count, run }] })
    fail(1, 'r/1')
    fail(2, 'r/1')
    state = importState([...exportState(state)])
    fail(2, 'r/1')
    expect(state.submissions.jobs.get('j')?.failures.get('a')).to.equal(1)
    fail(2, 'r/2')
    fail(3, 'r/1')
    expect(state.submissions.jobs.get('j')?.failures.get('a')).to.equal(2)
    applyCommand(state, finishOf('j', 'a'))
    expect(state.submissions.jobs.get('j')?.failedRuns.size).to.equal(0)
  })

  // Guards against events of two software versions that are resumed as events of one.
  it('names the software version of saved events only if all of them are of it', () => {
    const state = createControlState()
    applyCommand(state, submitOf('j', [itemOf('a')]))
    const save = (from: number, data: string[], run: string, softwareVersion: string | undefined): Array<string | number | undefined> => {
      applyCommand(state, { kind: CommandKind.SaveProgress, pieces: [{ job: 'j', item: 'a', from, data, lastEvent: from + data.length - 1, run, softwareVersion }] })
      const saved = state.submissions.jobs.get('j')?.progress.get('a')
      return [saved?.softwareVersion, saved?.data.join('')]
    }
    expect(save(0, ['a', 'b'], 'r/1', 'v1')).to.deep.equal(['v1', 'ab'])
    expect(save(2, ['c'], 'r/1', 'v1'), 'the same run').to.deep.equal(['v1', 'abc'])
    expect(save(2, ['d', 'e'], 'r/2', 'v1'), 'another run of the version').to.deep.equal(['v1', 'abde'])
    expect(save(4, ['f'], 'r/3', 'v2'), 'another version').to.deep.equal([undefined, 'abdef'])
    expect(save(5, ['g'], 'r/3', 'v2'), 'more of the other version').to.deep.equal([undefined, 'abdefg'])
    expect(save(0, ['h'], 'r/4', 'v2'), 'a run from the beginning').to.deep.equal(['v2', 'h'])
    expect(save(1, ['i'], 'r/4', undefined), 'a leader that names none').to.deep.equal([undefined, 'hi'])
    expect(save(2, ['j'], 'r/5', 'v2'), 'after events of an unknown version').to.deep.equal([undefined, 'hij'])
  })

  // Guards against progress with repeated or missing events, and against progress that outlives its item.
  it('appends only new events to the progress of an item, and drops it when the item or the job ends', () => {
    const state = createControlState()
    applyCommand(state, submitOf('j', [itemOf('a'), itemOf('b')]))
    const save = (item: string, from: number, data: string[]): unknown =>
      applyCommand(state, { kind: CommandKind.SaveProgress, pieces: [{ job: 'j', item, from, data, lastEvent: from + data.length - 1 }] })
    save('a', 0, ['x', 'y'])
    save('a', 0, ['x', 'y'])
    save('a', 1, ['y', 'z'])
    save('a', 5, ['late'])
    save('b', 0, ['b'])
    save('unknown', 0, ['n'])
    const progress = state.submissions.jobs.get('j')?.progress
    expect([...progress ?? []]).to.deep.equal([['a', { data: ['x', 'y', 'z'], lastEvent: 2 }], ['b', { data: ['b'], lastEvent: 0 }]])
    const copy = importState([...exportState(state)])
    expect(copy.submissions).to.deep.equal(state.submissions)
    applyCommand(state, finishOf('j', 'a', 'xyz'))
    save('a', 0, ['x'])
    expect([...progress?.keys() ?? []]).to.deep.equal(['b'])
    applyCommand(state, { kind: CommandKind.EndSubmission, job: 'j' })
    expect(progress?.size).to.equal(0)
  })
})
