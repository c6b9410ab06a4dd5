import { expect } from 'chai'
import { type Command, CommandKind, type CommandOf, type Outcome, OutcomeKind, Priority } from '../src/process/state/commands.ts'
import type { ControlHost } from '../src/process/state/controlHost.ts'
import { claimLongPollMs } from '../src/process/jobs/idleClaims.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { lastIndexOf } from '../src/process/log/replicaLog.ts'
import { FakeClock } from './support/fakeClock.ts'
import { MemoryStorage } from './support/memoryStorage.ts'
import { tables } from './support/stateCommands.ts'
import { startTestControl } from './support/testControl.ts'

const claim: CommandOf<'claim'> = { kind: CommandKind.Claim, backendServer: 'b', holder: 'h', lease: 1, sequence: 1, pool: 'p', count: 4 }
const items = [{ name: 'i', input: 'i', maxTokens: 1, priority: Priority.Ordinary }]

describe('claims while no item is waiting', () => {
  let lifecycle: Lifecycle
  let clock: FakeClock
  let control: ControlHost

  beforeEach(async () => {
    lifecycle = createLifecycle()
    clock = new FakeClock()
    control = await startTestControl(clock, new MemoryStorage('memory'), lifecycle)
    await execute({ kind: CommandKind.Apply, operation: 'o', expected: 0, tables })
    await execute({ kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'h', expected: 0 })
  })

  afterEach(() => lifecycle.close())

  async function execute (command: Command): Promise<Outcome> {
    return (await control.execute(command))._unsafeUnwrap()
  }

  async function submit (): Promise<void> {
    await execute({ kind: CommandKind.OpenUpload, upload: 'j', account: 'a', key: 'k', route: 'r', due: 0, time: 0 })
    await execute({ kind: CommandKind.AppendItems, upload: 'j', sequence: 0, items, time: 0 })
    await execute({ kind: CommandKind.Seal, upload: 'j', account: 'a', key: 'k', digest: 'd', count: 1, time: 0 })
  }

  async function claimWithoutItems (sequence: number): Promise<void> {
    const pendingClaim = execute({ ...claim, sequence })
    await clock.advance(claimLongPollMs)
    expect(await pendingClaim).to.deep.equal({ kind: OutcomeKind.Grants, grants: [] })
  }

  // The claims of idle backend servers would otherwise be written to the disk of every control host several times a second.
  it('add nothing to the log', async () => {
    const before = lastIndexOf(control.replica.state)
    for (let sequence = 1; sequence <= 5; sequence++) await claimWithoutItems(sequence)
    expect(lastIndexOf(control.replica.state)).to.equal(before)
  })

  // A claim that is held must not wait for its timeout when work arrives.
  it('are granted items as soon as a job is sealed', async () => {
    const pendingClaim = execute(claim)
    await submit()
    expect(await pendingClaim).to.have.property('grants').with.length(1)
  })

  // The holder has already sent its next claim and would never receive items that are granted to the old one.
  it('are granted nothing when they are late copies of an answered claim', async () => {
    await claimWithoutItems(1)
    await submit()
    expect(await execute(claim)).to.deep.equal({ kind: OutcomeKind.Grants, grants: [] })
    expect(await execute({ ...claim, sequence: 2 })).to.have.property('grants').with.length(1)
  })

  // A claim that is held outside the log must still be checked against the lease, or a host would keep claiming under a lost
  // one.
  it('are refused when their holder has released the lease', async () => {
    await execute({ kind: CommandKind.ReleaseLease, backendServer: 'b', holder: 'h', number: 1 })
    expect(await execute(claim)).to.include({ kind: OutcomeKind.Conflict })
  })
})
