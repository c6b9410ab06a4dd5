import { expect } from 'chai'
import { eventually } from '../scripts/processes.ts'
import { runBatchDispatch } from '../src/connection/batchDispatch.ts'
import { CommandKind, OutcomeKind } from '../src/process/state/commands.ts'
import { describeJob } from '../src/process/jobs/jobRecords.ts'
import { responseText, type StandIn, type StandInSettings, startStandIn } from './standIn/standIn.ts'
import { type BatchSystem, commandsOf, heldItems, startBatchSystem } from './support/batch.ts'

const timeoutMs = 5_000

describe('batch dispatch', () => {
  let system: BatchSystem
  let standIns: StandIn[]

  beforeEach(() => {
    system = startBatchSystem()
    standIns = []
  })

  afterEach(async () => {
    await system.close()
    for (const standIn of standIns) await standIn.close()
  })

  async function startBackendServer (settings: Partial<StandInSettings> = {}): Promise<StandIn> {
    const standIn = await startStandIn(settings)
    standIns.push(standIn)
    return standIn
  }

  function findJob (id: string) {
    const found = system.state.jobs.jobs.get(id)
    if (found === undefined) throw new Error(`no job ${id}`)
    return found
  }

  function waitForJobEnd (id: string): Promise<true> {
    return eventually(`job ${id} finished`, timeoutMs, () => describeJob(findJob(id)).phase === 'finished' ? true : undefined)
  }

  // Guards against an item that was cancelled for live work being run again from its start, or counted as a failed attempt.
  it('cancels an item when another entry host reports live work, and resumes it from its progress', async () => {
    const standIn = await startBackendServer({ tokenMs: 10 })
    const server = system.announce(standIn)
    system.submit('j', 'engine', [{ maxTokens: 30 }])
    system.dispatch(server)
    await eventually('an item that has run for 50 ms', timeoutMs, () => (standIn.runs[0]?.at ?? Infinity) < performance.now() - 50 ? true : undefined)
    system.services.liveWork.recordReport('host-b/1', [standIn.address])
    await eventually('the item\'s stream cancelled', timeoutMs, () => standIn.runs[0]?.cancelled === true ? true : undefined)
    expect(standIn.running).to.equal(0)
    system.services.liveWork.recordReport('host-b/1', [])
    await waitForJobEnd('j')
    expect(standIn.runs.at(-1)?.offset).to.be.greaterThan(0)
    expect(findJob('j').items[0]?.result).to.equal(responseText('input j 0', 30))
    expect(findJob('j').items[0]?.attempts).to.equal(0)
  })

  // Guards against a dispatch task that ignores live work, and keeps its items running, while it waits for a claim's response.
  it('cancels running items for live work while a claim is in flight', async () => {
    const standIn = await startBackendServer({ tokenMs: 10 })
    const server = system.announce(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 50 })))
    let respondToClaim = (): void => {}
    system.intercept = async command => {
      if (command.kind === CommandKind.Claim && commandsOf(system, CommandKind.Claim).length > 1) await new Promise<void>(resolve => { respondToClaim = resolve })
      return undefined
    }
    system.dispatch(server)
    await eventually('a second claim in flight', timeoutMs, () => commandsOf(system, CommandKind.Claim).length > 1 && standIn.running > 0 ? true : undefined)
    system.services.liveWork.recordReport('host-b/1', [standIn.address])
    await eventually('an idle backend server', timeoutMs, () => standIn.running === 0 ? true : undefined)
    expect(standIn.runs.filter(run => !run.cancelled)).to.deep.equal([])
    respondToClaim()
    system.intercept = () => undefined
  })

  // Failure: a full backend server claimed items ahead and held them until a slot was free, while another server was idle.
  it('claims no items that a full backend server cannot start', async () => {
    const full = await startBackendServer({ tokenMs: 20 })
    system.submit('j', 'engine', Array.from({ length: 12 }, () => ({ maxTokens: 1_000 })))
    system.dispatch(system.announce(full))
    await eventually('a full backend server', timeoutMs, () => full.running === 8 ? true : undefined)
    // Leaves time for a wrong claim of the remaining items.
    await new Promise(resolve => setTimeout(resolve, 100))
    const idle = await startBackendServer({ tokenMs: 20 })
    system.dispatch(system.announce(idle))
    await eventually('the remaining items on the idle backend server', 2_000, () => idle.running === 4 ? true : undefined)
    expect(full.runs).to.have.length(8)
  })

  // Guards against one claim for each item: short items would each wait for a claim.
  it('claims several short items ahead in one claim', async () => {
    const standIn = await startBackendServer({ tokenMs: 1, slowdownMs: 0, prefillMs: 1 })
    system.submit('j', 'engine', Array.from({ length: 200 }, () => ({ maxTokens: 2 })))
    system.dispatch(system.announce(standIn))
    await waitForJobEnd('j')
    expect(commandsOf(system, CommandKind.Claim).length).to.be.lessThan(100)
  })

  // Guards against items that stay granted, and never run, because the response to their claim was lost.
  it('runs the items of a claim whose response was lost', async () => {
    const server = system.announce(await startBackendServer())
    system.submit('j', 'engine', [{}, {}, {}])
    let lostResponses = 0
    system.intercept = (command, apply) => {
      if (command.kind !== CommandKind.Claim || lostResponses > 0) return undefined
      lostResponses++
      apply()
      return 'lost'
    }
    system.dispatch(server)
    await waitForJobEnd('j')
    expect(heldItems(system)).to.deep.equal([])
  })

  // Guards against an item that was never sent ending as unknown because its start was refused or not confirmed.
  it('requeues a non-idempotent item whose start was refused or not confirmed', async () => {
    const standIn = await startBackendServer()
    const server = system.announce(standIn, { pool: 'service' })
    system.submit('j', 'service', [{}, {}, {}])
    let startCommands = 0
    system.intercept = (command, apply) => {
      if (command.kind !== CommandKind.Start) return undefined
      startCommands++
      if (startCommands === 1) {
        apply()
        return 'lost'
      }
      return startCommands === 2 ? { kind: OutcomeKind.Started, accepted: command.items.map(() => false) } : undefined
    }
    system.dispatch(server)
    await waitForJobEnd('j')
    expect(describeJob(findJob('j'))).to.include({ done: 3, unknown: 0 })
    expect(standIn.runs).to.have.length(3)
  })

  // Guards against an item that is sent before its start is recorded, and could run twice after a crash of the host.
  it('records the start of several non-idempotent items in one command before any is sent', async () => {
    const standIn = await startBackendServer()
    const server = system.announce(standIn, { pool: 'service' })
    system.submit('j', 'service', Array.from({ length: 8 }, () => ({})))
    let startedBeforeSend = 0
    system.intercept = command => {
      if (command.kind === CommandKind.Start && standIn.runs.length === 0) startedBeforeSend = command.items.length
      return undefined
    }
    system.dispatch(server)
    await waitForJobEnd('j')
    expect(startedBeforeSend).to.be.greaterThan(1)
    expect(standIn.runs).to.have.length(8)
  })

  // Guards against an unknown outcome: a non-idempotent item that is cancelled after it was sent can't be run again.
  it('does not cancel a non-idempotent item for live work once it was sent', async () => {
    const standIn = await startBackendServer({ tokenMs: 100 })
    const server = system.announce(standIn, { pool: 'service' })
    system.submit('j', 'service', [{}])
    system.dispatch(server)
    await eventually('the item sent', timeoutMs, () => standIn.runs.length === 1 ? true : undefined)
    system.services.liveWork.recordReport('host-b/1', [standIn.address])
    await waitForJobEnd('j')
    expect(describeJob(findJob('j'))).to.include({ done: 1, unknown: 0 })
  })

  // Failure: an item under which two servers crashed, or three connections broke, ended as failed, although the servers had
  // crashed by themselves.
  it('completes items under which several backend servers crashed, without counting these runs as attempts', async () => {
    system.submit('j', 'engine', [{ maxTokens: 400 }, { maxTokens: 400 }])
    for (let index = 0; index < 4; index++) {
      const standIn = await startBackendServer({ tokenMs: 10 })
      system.dispatch(system.announce(standIn))
      await eventually(`both items on server ${index}`, timeoutMs, () => standIn.running === 2 ? true : undefined)
      await standIn.close()
    }
    system.dispatch(system.announce(await startBackendServer({ tokenMs: 1 })))
    await waitForJobEnd('j')
    expect(findJob('j').items.map(item => [item.ending, item.attempts])).to.deep.equal([['done', 0], ['done', 0]])
  })

  // Guards against items that are sent to a server that is about to shut down, and against interrupting those that run there.
  it('sends no new items to a leaving backend server, and does not cancel its running ones', async () => {
    const standIn = await startBackendServer({ tokenMs: 10 })
    const server = system.announce(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 20 })))
    system.dispatch(server)
    await eventually('running items', timeoutMs, () => standIn.running === 8 ? true : undefined)
    system.announce(standIn, { leaving: true })
    const runsBefore = standIn.runs.length
    await eventually('the released lease', timeoutMs, () => commandsOf(system, CommandKind.ReleaseLease).length > 0 ? true : undefined)
    expect(standIn.runs.slice(0, runsBefore).filter(run => !run.finished)).to.deep.equal([])
    expect(standIn.runs).to.have.length(runsBefore)
  })

  // Guards against items and a lease that stay with a host that has shut down.
  it('releases the lease and requeues the items when the host drains', async () => {
    const standIn = await startBackendServer({ tokenMs: 10 })
    const server = system.announce(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 100 })))
    system.dispatch(server)
    await eventually('running items', timeoutMs, () => standIn.running > 0 ? true : undefined)
    await system.stop()
    expect(system.state.leases.get(standIn.address)?.holder).to.equal(undefined)
    expect(heldItems(system)).to.deep.equal([])
    expect(system.services.leases.listOwn()).to.deep.equal([])
  })

  // Guards against two hosts dispatching to one server: control may grant the lease to another host once the session expires.
  it('cancels and requeues all items, and releases the lease, once the session may have expired', async () => {
    const standIn = await startBackendServer({ tokenMs: 10 })
    const server = system.announce(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 100 })))
    system.dispatch(server)
    await eventually('running items', timeoutMs, () => standIn.running > 0 ? true : undefined)
    system.isSessionAlive = false
    await eventually('an idle backend server', timeoutMs, () => standIn.running === 0 ? true : undefined)
    await eventually('the released lease', timeoutMs, () => commandsOf(system, CommandKind.ReleaseLease).length > 0 ? true : undefined)
    expect(heldItems(system)).to.deep.equal([])
  })

  // Guards against two hosts dispatching to one server: after a freeze of the process, its lease may belong to another host.
  it('sends nothing under an old lease after a freeze in which another host acquired the lease', async () => {
    const standIn = await startBackendServer({ tokenMs: 10 })
    const server = system.announce(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 20 })))
    const now = system.services.clock.now.bind(system.services.clock)
    let frozenMs = 0
    const services = { ...system.services, clock: Object.assign(Object.create(system.services.clock), { now: () => now() + frozenMs }) }
    const dispatchAbort = new AbortController()
    const dispatchTask = runBatchDispatch(server, services, dispatchAbort.signal)
    await eventually('running items', timeoutMs, () => standIn.running > 0 ? true : undefined)
    // The session is confirmed again before the task checks it; only the time between two checks shows the freeze.
    frozenMs = 6_000
    // Control can't be reached either, so that no refused claim shows that the lease is lost.
    let restoreControl = (): void => {}
    const controlReachable = new Promise<void>(resolve => { restoreControl = resolve })
    system.intercept = async command => {
      if (command.kind === CommandKind.Claim) await controlReachable
      return undefined
    }
    system.state.leases.set(standIn.address, { holder: 'host-b/1', number: 2 })
    const runsBefore = standIn.runs.length
    await eventually('the release of the old lease', timeoutMs, () => commandsOf(system, CommandKind.ReleaseLease).length > 0 ? true : undefined)
    expect(standIn.runs).to.have.length(runsBefore)
    restoreControl()
    dispatchAbort.abort()
    await dispatchTask
  })
})
