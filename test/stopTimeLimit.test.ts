import { expect } from 'chai'
import { configureRoute, waitForServers } from '../scripts/fleetCalls.ts'
import { type Fleet, startFleet } from '../scripts/fleet.ts'
import { eventually } from '../scripts/processes.ts'
import { type Crowd, openCrowd } from './support/callerCrowd.ts'
import { planAnnouncedBodies } from './support/crowdPlans.ts'

/** Longest time for which the entry host waits for its clients when it stops, in milliseconds. */
const maxDrainMs = 2_000

const timeoutMs = 20_000

/** Makes the collections frequent that otherwise only sometimes fall into the stop. */
const collectingNodeFlags = ['--expose-gc', '--import', 'data:text/javascript,setInterval(gc,100).unref()']

const upload = { method: 'PUT', path: '/v1/jobs/slow?route=assist', fields: ['content-type: application/x-ndjson', 'jaychute-account: rothar'] }

describe('the time limit of a planned stop', () => {
  let fleet: Fleet
  let crowd: Crowd | undefined
  beforeEach(async () => {
    fleet = await startFleet({ controlHosts: 1, entryHosts: 1, entryNodeFlags: collectingNodeFlags, entryFlags: ['--max-drain-ms', String(maxDrainMs)] })
    fleet.startStandIn()
    await configureRoute(fleet)
    await waitForServers(fleet, 1)
  })
  afterEach(async () => {
    crowd?.close()
    await fleet.close()
  })

  // Failure: the garbage collector removed the timer of the limit, and the host waited for a slow client until the client ended.
  it('holds although the garbage collector runs during the stop', async () => {
    const [entryHost] = fleet.entryHosts
    if (entryHost === undefined) expect.fail('the fleet has no entry host')
    crowd = openCrowd(entryHost.callerAddress, { ...planAnnouncedBodies(1, upload, 1_000_000), pieceBytes: 1, pauseMs: 1_500 })
    await crowd.settle()
    const { child, errors } = entryHost.program
    child.kill('SIGTERM')
    const code = await eventually('the end of the entry host', timeoutMs, () => child.exitCode ?? child.signalCode ?? undefined)
    expect(code, errors().slice(-500)).to.equal(0)
  })
})
