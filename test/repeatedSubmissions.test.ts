import { expect } from 'chai'
import type { ControlHost } from '../src/process/state/controlHost.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { type Command, CommandKind, OutcomeKind } from '../src/process/state/commands.ts'
import { FakeClock } from './support/fakeClock.ts'
import { MemoryStorage } from './support/memoryStorage.ts'
import { startTestControl } from './support/testControl.ts'

function submitOf (id: string, tokens = 100, tokenLimit = 0, account?: string): Command {
  const item = { id: 'item', path: '/p/1', headers: {}, body: Buffer.alloc(15_000), tokens }
  const submission = { id, host: 'a.example', route: 'r', pathPrefix: '/p/', acceptedAt: 0, giveUpAt: 0, items: [item], account }
  return { kind: CommandKind.Submit, submission, tokenLimit, giveUpMs: 60_000, time: 0 }
}

describe('a submission that is repeated', () => {
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

  async function executeAll (commands: readonly Command[]): Promise<string[]> {
    const outcomes = commands.map(command => control.execute(command))
    await clock.advance(200)
    storage.release()
    await clock.advance(200)
    return (await Promise.all(outcomes)).map(outcome => outcome._unsafeUnwrap().kind)
  }

  // Guards against an overloaded leader that appends a job with all its items to the log again for each repetition of a slow submission.
  it('is appended to the log once while it is not committed', async () => {
    const { appliedIndex } = control.replica.state
    storage.hold()
    expect(await executeAll([submitOf('j'), submitOf('j'), submitOf('other'), submitOf('j')])).to.deep.equal(Array(4).fill(OutcomeKind.Job))
    expect(control.replica.state.appliedIndex).to.equal(appliedIndex + 2)
  })

  // Failure: ids and names of accounts contain spaces, so that a job was taken for that of another account, accepted and never run.
  it('is told from a job of another account while both are not committed', async () => {
    const { appliedIndex } = control.replica.state
    storage.hold()
    expect(await executeAll([submitOf('j', 100, 0, 'x y'), submitOf('j x', 100, 0, 'y')])).to.deep.equal([OutcomeKind.Job, OutcomeKind.Job])
    expect(control.replica.state.appliedIndex).to.equal(appliedIndex + 2)
  })

  // Guards against the same for a caller that repeats a submission whose response it has lost, and the end of a job.
  it('is answered without an entry of the log once it is committed', async () => {
    await executeAll([submitOf('j')])
    const end: Command = { kind: CommandKind.EndSubmission, job: 'j' }
    const { appliedIndex } = control.replica.state
    expect(await executeAll([submitOf('j'), submitOf('j')])).to.deep.equal([OutcomeKind.Job, OutcomeKind.Job])
    expect(control.replica.state.appliedIndex).to.equal(appliedIndex)
    expect(await executeAll([end, end])).to.deep.equal([OutcomeKind.Done, OutcomeKind.Done])
    expect(await executeAll([end])).to.deep.equal([OutcomeKind.Done])
    expect(control.replica.state.appliedIndex).to.equal(appliedIndex + 1)
  })

  // Guards against a job that stays refused after the limit that refused it has room again.
  it('is decided anew after a refusal', async () => {
    await executeAll([submitOf('first', 100, 150)])
    expect(await executeAll([submitOf('j', 100, 150)])).to.deep.equal([OutcomeKind.Limit])
    await executeAll([{ kind: CommandKind.EndSubmission, job: 'first' }])
    expect(await executeAll([submitOf('j', 100, 150)])).to.deep.equal([OutcomeKind.Job])
  })
})
