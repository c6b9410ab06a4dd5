import { expect } from 'chai'
import { request } from 'undici'
import { type Fleet, type FleetHost, startFleet } from '../scripts/fleet.ts'
import { eventually } from '../scripts/processes.ts'
import { sessionTimeoutMs } from '../src/process/state/sessions.ts'
import { confirmationValidityMs } from '../src/version/currentVersion.ts'
import type { RecordedRun } from './standIn/standIn.ts'
import { readAddresses, startRequest, sendRequest, findBatchHost, waitForJob, waitForServers, configureRoute, readRuns, submit } from '../scripts/fleetCalls.ts'

/** Control looks for expired sessions twice a second, and a waiting host asks for a lease once a second. */
const takeOverLimitMs = sessionTimeoutMs + 3_000

describe('faults of an entry host', () => {
  let fleet: Fleet

  beforeEach(async () => {
    fleet = await startFleet({ controlHosts: 1, entryHosts: 2 })
    fleet.startStandIn()
    fleet.startStandIn()
    await configureRoute(fleet)
    await waitForServers(fleet, 2)
  })
  afterEach(() => fleet.close())

  function otherThan (host: FleetHost): FleetHost {
    return fleet.entryHosts.find(candidate => candidate !== host) ?? host
  }

  async function applyRoutes (host: FleetHost, names: readonly string[]): Promise<void> {
    const url = `http://${host.administrationAddress}/v1/configuration`
    const { version, pools } = await (await request(url)).body.json() as { version: number, pools: object[] }
    const routes = names.map(name => ({ name, pool: 'assist' }))
    const answer = await request(url, {
      method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ operation: `routes-${version}`, expected: version, tables: { routes, pools } })
    })
    expect(answer.statusCode, await answer.body.text()).to.equal(200)
  }

  async function expectEachOnce (host: FleetHost, job: string, items: number): Promise<void> {
    expect(await waitForJob(host, job, 40_000)).to.include({ done: items, failed: 0, unknown: 0 })
    const answer = await request(`http://${host.administrationAddress}/v1/jobs/${job}/results`)
    const { results } = await answer.body.json() as { results: Array<{ position: number }> }
    expect(results.map(result => result.position)).to.deep.equal(Array.from({ length: items }, (_, number) => number))
  }

  /** Waits until an item that ran at the fault is granted again; nothing else takes items back without live requests. */
  async function againElsewhere (servers: readonly string[], before: readonly RecordedRun[]): Promise<true> {
    const held = new Set(before.filter(run => !run.finished && !run.cancelled).map(run => run.requestId))
    const known = new Set(before.map(run => run.requestId))
    const itemOf = (id: string): string => id.split('/').slice(0, 2).join('/')
    const items = new Set([...held].filter(id => id.includes('/')).map(itemOf))
    return await eventually('an item granted again', takeOverLimitMs, async () =>
      (await runsOn(servers)).some(run => !known.has(run.requestId) && items.has(itemOf(run.requestId))) ? true : undefined)
  }

  async function runsOn (servers: readonly string[]): Promise<RecordedRun[]> {
    return (await Promise.all(servers.map(readRuns))).flat()
  }

  // Failure: a host that was frozen for longer than its session took a request on a route that had been removed meanwhile.
  it('frozen and resumed: it takes no request on a stale configuration, and its items end once', async () => {
    const servers = await waitForServers(fleet, 2)
    const job = await submit(fleet, 'evening', 12, 1_500)
    const frozen = await findBatchHost(fleet)
    const before = await runsOn(servers)
    frozen.program.child.kill('SIGSTOP')
    const frozenAt = performance.now()
    const waiting = sendRequest(frozen, 2)
    await againElsewhere(servers, before)
    await applyRoutes(otherThan(frozen), ['moved'])
    const leftMs = confirmationValidityMs + 500 - (performance.now() - frozenAt)
    await new Promise(resolve => setTimeout(resolve, Math.max(0, leftMs)))
    frozen.program.child.kill('SIGCONT')
    const answers = await Promise.all([waiting, ...Array.from({ length: 20 }, () => sendRequest(frozen, 2))])
    for (const answer of answers) {
      const { error } = JSON.parse(answer.text)
      expect(error?.execution).to.equal('not run')
      expect(error?.reason).to.be.oneOf(['stale configuration', 'unknown route'])
    }
    await applyRoutes(otherThan(frozen), ['assist'])
    await expectEachOnce(otherThan(frozen), job, 12)
  })

  it('killed: callers go on through another address, and its items come back within seconds and end once', async () => {
    const servers = await waitForServers(fleet, 2)
    const job = await submit(fleet, 'evening', 12, 1_000)
    const killed = await findBatchHost(fleet)
    const [other = ''] = (await readAddresses(killed)).filter(address => address !== killed.callerAddress)
    const stream = await startRequest(killed, 5_000)
    const before = await runsOn(servers)
    await killed.program.end('SIGKILL')
    const broken = await stream.body.text().then(text => text.includes('event: done') ? 'whole' : 'broken', () => 'broken')
    expect(broken).to.equal('broken')
    const survivor = otherThan(killed)
    expect(survivor.callerAddress).to.equal(other)
    await againElsewhere(servers, before)
    expect((await sendRequest(survivor, 2)).status).to.equal(200)
    await expectEachOnce(survivor, job, 12)
  })
})
