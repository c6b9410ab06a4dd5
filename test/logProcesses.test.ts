import { expect } from 'chai'
import { setTimeout } from 'node:timers/promises'
import { changeTables, findLeader, readStatus, readVersion } from '../scripts/controlCalls.ts'
import { type Fleet, type FleetHost, startFleet } from '../scripts/fleet.ts'
import { eventually } from '../scripts/processes.ts'
import { sessionTimeoutMs } from '../src/process/state/sessions.ts'

const timeoutMs = 30_000

describe('control hosts as processes', () => {
  let fleet: Fleet
  let version = 0

  before(async () => { fleet = await startFleet({ controlHosts: 3, entryHosts: 0 }) })
  after(() => fleet.close())

  async function makeChanges (hosts: readonly FleetHost[], count: number): Promise<void> {
    for (let number = 0; number < count; number++) version = await changeTables(hosts, version)
  }

  async function waitForVersion (host: FleetHost): Promise<void> {
    await eventually(`version ${version} on ${host.name}`, timeoutMs, async () => await readVersion(host) === version ? true : undefined)
  }

  // A change that is acknowledged before a majority has synced it is lost with the leader.
  it('keep every acknowledged change when the leader is killed', async () => {
    const leader = await findLeader(fleet.controlHosts)
    await makeChanges([leader], 50)
    const remaining = fleet.controlHosts.filter(host => host !== leader)
    await leader.program.end('SIGKILL')
    await makeChanges(remaining, 1)
    expect(version).to.equal(51)
    await fleet.restart(leader, 'SIGKILL')
    await waitForVersion(leader)
  })

  // A leader that was suspended resumes in the leader's role and would answer from its old state, although a new leader has
  // accepted changes since; nor may its return depose the new leader.
  it('serve no stale version from a leader that was suspended for longer than a session', async () => {
    const leader = await findLeader(fleet.controlHosts)
    const remaining = fleet.controlHosts.filter(host => host !== leader)
    leader.program.child.kill('SIGSTOP')
    await makeChanges(remaining, 5)
    await setTimeout(sessionTimeoutMs + 1_000)
    const next = await findLeader(remaining)
    const statusBefore = await readStatus(next)
    const pendingRead = readVersion(leader)
    leader.program.child.kill('SIGCONT')
    expect(await pendingRead).to.be.oneOf([undefined, version])
    await waitForVersion(leader)
    await makeChanges([leader], 1)
    const statusAfter = await readStatus(next)
    expect(statusAfter).to.include({ role: 'leader', term: statusBefore?.term })
  })

  // The host with an empty disk restarts under a new identity. If it were reported as a voter before it has caught up,
  // the loss of the leader would lose committed changes.
  it('replace a host whose disk is lost, and keep every change when the leader is lost after the promotion', async () => {
    const leader = await findLeader(fleet.controlHosts)
    const lost = fleet.controlHosts.find(host => host !== leader) as FleetHost
    const oldIdentity = (await readStatus(lost))?.identity
    await fleet.restart(lost, 'SIGKILL', true)
    await eventually('the promotion of the replacement', timeoutMs, () => leader.program.errors().includes('"event":212') ? true : undefined)
    const members = (await readStatus(leader))?.members ?? []
    expect(members.map(member => member.identity)).to.not.include(oldIdentity)
    expect(members.map(member => member.standing)).to.deep.equal(['voter', 'voter', 'voter'])
    await leader.program.end('SIGKILL')
    const remaining = fleet.controlHosts.filter(host => host !== leader)
    await makeChanges(remaining, 5)
    await fleet.restart(leader, 'SIGKILL')
    await waitForVersion(leader)
  })

  // Only the new host lists itself as a control host. It must join the existing membership rather than bootstrap another.
  it('add a host with a new address as a learner', async () => {
    const added = await fleet.addControlHost()
    await eventually('the new member without missing entries', timeoutMs, async () => {
      const leader = await findLeader(fleet.controlHosts)
      const member = (await readStatus(leader))?.members.find(({ address }) => address === added.internalAddress)
      return member?.standing === 'learner' && member.behind === 0 ? true : undefined
    })
    await waitForVersion(added)
  })
})
