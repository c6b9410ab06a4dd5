import { expect } from 'chai'
import { request } from 'undici'
import { type Fleet, type FleetHost, startFleet } from '../scripts/fleet.ts'
import { eventually } from '../scripts/processes.ts'
import { sessionTimeoutMs } from '../src/process/state/sessions.ts'
import { confirmationValidityMs } from '../src/version/currentVersion.ts'
import type { RecordedRun } from './standIn/standIn.ts'
import { readAddresses, readEntryStatus, startRequest, sendRequest, findBatchHost, waitForJob, waitForServers, configureRoute, readRuns, submit } from '../scripts/fleetCalls.ts'

/**
 * Time limit for another host to take over after a fault, in milliseconds: the session timeout, and a margin for the expiry
 * check (twice a second) and the lease request of the other host (once a second).
 */
const takeoverLimitMs = sessionTimeoutMs + 3_000

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

  function findOtherHost (host: FleetHost): FleetHost {
    return fleet.entryHosts.find(candidate => candidate !== host) ?? host
  }

  async function applyRoutes (host: FleetHost, names: readonly string[]): Promise<void> {
    const url = `http://${host.administrationAddress}/v1/configuration`
    const { version, pools } = await (await request(url)).body.json() as { version: number, pools: object[] }
    const routes = names.map(name => ({ name, pool: 'assist' }))
    const response = await request(url, {
      method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ operation: `routes-${version}`, expected: version, tables: { routes, pools } })
    })
    expect(response.statusCode, await response.body.text()).to.equal(200)
  }

  async function expectEachItemOnce (host: FleetHost, job: string, itemCount: number): Promise<void> {
    expect(await waitForJob(host, job, 40_000)).to.include({ done: itemCount, failed: 0, unknown: 0 })
    const response = await request(`http://${host.administrationAddress}/v1/jobs/${job}/results`)
    const { results } = await response.body.json() as { results: Array<{ position: number }> }
    expect(results.map(result => result.position)).to.deep.equal(Array.from({ length: itemCount }, (_, position) => position))
  }

  /**
   * Waits until an item that was running before the fault runs again under a new grant. Without live requests, items are
   * requeued only after a fault, so a new grant shows that another host has taken over.
   */
  async function waitForRegrant (servers: readonly string[], runsBefore: readonly RecordedRun[]): Promise<true> {
    const runningIds = new Set(runsBefore.filter(run => !run.finished && !run.cancelled).map(run => run.requestId))
    const knownIds = new Set(runsBefore.map(run => run.requestId))
    const getItemId = (id: string): string => id.split('/').slice(0, 2).join('/')
    const interruptedItems = new Set([...runningIds].filter(id => id.includes('/')).map(getItemId))
    return await eventually('an item granted again', takeoverLimitMs, async () =>
      (await listRuns(servers)).some(run => !knownIds.has(run.requestId) && interruptedItems.has(getItemId(run.requestId))) ? true : undefined)
  }

  /**
   * Waits until an item of the job is running on a backend server where the host has items in flight. A host counts an item
   * as in flight before sending it, so with a fault immediately after the count there could be no running item for
   * `waitForRegrant` to wait for.
   */
  async function waitForRunningItem (host: FleetHost, servers: readonly string[], job: string): Promise<true> {
    return await eventually(`a running item of ${host.name}`, takeoverLimitMs, async () => {
      const { backendServers } = await readEntryStatus(host)
      const addresses = backendServers.filter(server => server.batchInFlight > 0).map(server => server.address)
      const runs = await listRuns(servers.filter(address => addresses.includes(address)))
      return runs.some(run => run.requestId.startsWith(`${job}/`) && !run.finished && !run.cancelled) ? true : undefined
    })
  }

  async function listRuns (servers: readonly string[]): Promise<RecordedRun[]> {
    return (await Promise.all(servers.map(readRuns))).flat()
  }

  // Guards against a host that is stopped (SIGSTOP) for longer than its session timeout and, once resumed, accepts a request
  // on a route that was removed in the meantime.
  it('frozen and resumed: it accepts no request under a stale configuration, and its items end once', async () => {
    const servers = await waitForServers(fleet, 2)
    const job = await submit(fleet, 'evening', 12, 1_500)
    const frozen = await findBatchHost(fleet)
    await waitForRunningItem(frozen, servers, job)
    const runsBefore = await listRuns(servers)
    frozen.program.child.kill('SIGSTOP')
    const frozenAt = performance.now()
    const pendingRequest = sendRequest(frozen, 2)
    await waitForRegrant(servers, runsBefore)
    await applyRoutes(findOtherHost(frozen), ['moved'])
    const remainingMs = confirmationValidityMs + 500 - (performance.now() - frozenAt)
    await new Promise(resolve => setTimeout(resolve, Math.max(0, remainingMs)))
    frozen.program.child.kill('SIGCONT')
    const responses = await Promise.all([pendingRequest, ...Array.from({ length: 20 }, () => sendRequest(frozen, 2))])
    for (const response of responses) {
      const { error } = JSON.parse(response.text)
      expect(error?.execution).to.equal('not run')
      expect(error?.reason).to.be.oneOf(['stale configuration', 'unknown route'])
    }
    await applyRoutes(findOtherHost(frozen), ['assist'])
    await expectEachItemOnce(findOtherHost(frozen), job, 12)
  })

  // Guards against items that remain granted to a host after it was killed, and against items that end twice.
  it('killed: callers continue through another address, and its items are granted again within seconds and end once', async () => {
    const servers = await waitForServers(fleet, 2)
    const job = await submit(fleet, 'evening', 12, 1_000)
    const killed = await findBatchHost(fleet)
    await waitForRunningItem(killed, servers, job)
    const [otherAddress = ''] = (await readAddresses(killed)).filter(address => address !== killed.callerAddress)
    const stream = await startRequest(killed, 5_000)
    const runsBefore = await listRuns(servers)
    await killed.program.end('SIGKILL')
    const streamEnd = await stream.body.text().then(text => text.includes('event: done') ? 'whole' : 'broken', () => 'broken')
    expect(streamEnd).to.equal('broken')
    const survivor = findOtherHost(killed)
    expect(survivor.callerAddress).to.equal(otherAddress)
    await waitForRegrant(servers, runsBefore)
    expect((await sendRequest(survivor, 2)).status).to.equal(200)
    await expectEachItemOnce(survivor, job, 12)
  })
})
