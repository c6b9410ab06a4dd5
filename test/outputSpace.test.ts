import { expect } from 'chai'
import { countOutputBytes, hasOutputSpace, maxOutputBytes } from '../src/process/jobs/outputSpace.ts'
import type { ControlHost } from '../src/process/state/controlHost.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { RecordKind } from '../src/process/log/storage.ts'
import { type Command, CommandKind, Ending, type Outcome, OutcomeKind } from '../src/process/state/commands.ts'
import type { Failure } from '../src/process/program/failure.ts'
import type { Result } from 'neverthrow'
import { FakeClock } from './support/fakeClock.ts'
import { MemoryStorage } from './support/memoryStorage.ts'
import { startTestControl } from './support/testControl.ts'

const itemsPerJob = 100

/** Output of an item that cannot be compressed to less than half of its size. */
function outputOf (characters: number, seed: number): string {
  let state = seed
  let text = ''
  while (text.length < characters) {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    text += state.toString(36)
  }
  return text.slice(0, characters)
}

function submitOf (id: string): Command {
  const items = Array.from({ length: itemsPerJob }, (_, index) => ({ id: `${id}-${index}`, path: '/p/1', headers: {}, body: Buffer.alloc(100), tokens: 100 }))
  return { kind: CommandKind.Submit, submission: { id, host: 'a.example', route: 'r', pathPrefix: '/p/', acceptedAt: 0, giveUpAt: 0, items }, tokenLimit: 0, giveUpMs: 60_000, time: 0 }
}

function finishOf (id: string, characters = 40_000): Command {
  const results = Array.from({ length: itemsPerJob }, (_, index) => ({ job: id, item: `${id}-${index}`, ending: Ending.Done, output: outputOf(characters, index) }))
  return { kind: CommandKind.FinishItems, results }
}

describe('space for results', () => {
  let lifecycle: Lifecycle
  let clock: FakeClock
  let storage: MemoryStorage
  let control: ControlHost

  beforeEach(async () => {
    lifecycle = createLifecycle()
    clock = new FakeClock()
    storage = new MemoryStorage('disk')
    control = await startTestControl(clock, storage, lifecycle)
    await clock.advance(500)
  })

  afterEach(async () => {
    storage.release()
    const closed = lifecycle.close()
    await clock.advance(2_000)
    await closed
  })

  async function execute (command: Command): Promise<Result<Outcome, Failure>> {
    const outcome = control.execute(command)
    await clock.advance(200)
    return await outcome
  }

  // Failure (LOST): jobs were accepted without regard to the size of the results that are kept. Once these had their maximum size, no item was
  // started any more, and the items of accepted jobs were neither run nor ended.
  it('is left for the results of every accepted item, and a job without space for its results is rejected', async () => {
    let accepted = 0
    for (; accepted < 40; accepted++) {
      const outcome = await execute(submitOf(`j-${accepted}`))
      if (outcome.isErr()) {
        expect(outcome.error.reason).to.equal('rejected')
        break
      }
      await execute(finishOf(`j-${accepted}`))
    }
    expect(accepted).to.be.within(4, 39)
    expect(countOutputBytes(control.state.submissions)).to.be.below(maxOutputBytes)
    // The job that was accepted last is open; its results fit, too.
    const last = await execute(finishOf(`j-${accepted - 1}`))
    expect(last.isOk()).to.equal(true)
    expect(countOutputBytes(control.state.submissions)).to.be.below(maxOutputBytes)
  })

  // Guards against a caller that repeats a submission whose response it has lost, and is told that the job was not accepted.
  it('is not asked for again by a job that was accepted', async () => {
    expect((await execute(submitOf('j')))._unsafeUnwrap().kind).to.equal(OutcomeKind.Job)
    control.state.submissions.resultBytes = maxOutputBytes
    expect((await execute(submitOf('other'))).isErr()).to.equal(true)
    expect((await execute(submitOf('j')))._unsafeUnwrap().kind).to.equal(OutcomeKind.Job)
  })

  it('is expected to be used by open items as by the results so far', async () => {
    const { submissions } = control.state
    await execute(submitOf('j'))
    const fitting = Math.floor(maxOutputBytes * 0.9 / (6 * 1024)) - itemsPerJob
    expect(hasOutputSpace(submissions, fitting)).to.equal(true)
    expect(hasOutputSpace(submissions, fitting + 1)).to.equal(false)
    await execute(finishOf('j'))
    expect(hasOutputSpace(submissions, fitting)).to.equal(false)
  })

  // Failure: the saved progress of open items was counted as results, so that sound jobs were refused while many items were open.
  it('is not asked for saved progress beside the result that takes its place', async () => {
    await execute(submitOf('done'))
    await execute(finishOf('done', 6_000))
    for (const id of ['a', 'b', 'c', 'd', 'e', 'f']) {
      await execute(submitOf(id))
      const pieces = Array.from({ length: itemsPerJob }, (_, index) => ({ job: id, item: `${id}-${index}`, from: 0, data: ['x'.repeat(6_700)], lastEvent: 0, run: 'r' }))
      await execute({ kind: CommandKind.SaveProgress, pieces })
    }
    expect(hasOutputSpace(control.state.submissions, 1)).to.equal(true)
  })

  // Guards against items without output, which say nothing of the size of results to come: with these, any number of jobs would be accepted.
  it('is expected to be used by open items although items have failed', async () => {
    await execute(submitOf('j'))
    await execute({ kind: CommandKind.FinishItems, results: Array.from({ length: itemsPerJob }, (_, index) => ({ job: 'j', item: `j-${index}`, ending: Ending.Failed, output: '' })) })
    expect(hasOutputSpace(control.state.submissions, maxOutputBytes / 1_024)).to.equal(false)
  })

  // Guards against submissions that a slow log holds up, each of which finds the space that all others need.
  it('is counted for submissions that are not decided yet', async () => {
    storage.hold()
    const outcomes = Array.from({ length: 60 }, (_, index) => control.execute(submitOf(`j-${index}`)))
    await clock.advance(100)
    storage.release()
    await clock.advance(300)
    const accepted = (await Promise.all(outcomes)).filter(outcome => outcome.isOk()).length
    expect(accepted * itemsPerJob * 6 * 1024).to.be.within(maxOutputBytes * 0.8, maxOutputBytes * 0.9)
  })

  // Guards against a new leader that does not know the accepted jobs yet: it would accept others in their space, or refuse their repetitions.
  it('is decided on by a new leader once it has applied the entries of earlier terms', async () => {
    let accepted = 0
    while ((await execute(submitOf(`j-${accepted}`))).isOk()) accepted++
    const closed = lifecycle.close()
    await clock.advance(2_000)
    await closed
    lifecycle = createLifecycle()
    storage = storage.restart()
    const append = storage.append.bind(storage)
    // The entry of its own term is not synced, so that nothing of earlier terms is applied.
    storage.append = records => {
      if (records.some(({ kind }) => kind === RecordKind.Entry)) storage.hold()
      return append(records)
    }
    control = await startTestControl(clock, storage, lifecycle)
    storage.append = append
    expect(control.state.submissions.jobs.size).to.equal(0)
    const outcomes = [control.execute(submitOf('new')), control.execute(submitOf('j-0'))]
    await clock.advance(100)
    storage.release()
    await clock.advance(300)
    const [other, repeated] = await Promise.all(outcomes)
    expect(other?.isErr()).to.equal(true)
    expect(repeated?.isOk()).to.equal(true)
  })
})
