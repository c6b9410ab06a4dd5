import { expect } from 'chai'
import { eventually } from '../scripts/processes.ts'
import { LogEvents } from '../src/process/program/logEvents.ts'
import { Counter } from '../src/process/program/metrics.ts'
import { type Fleet, startFleet } from './support/fleetProcesses.ts'

const timeoutMs = 15_000
const gatewayCount = 6

/** Line of a log, as far as the tests read it. */
interface LogLine {
  readonly event: number
  readonly value?: number
  readonly peer?: string
  readonly time: string
}

describe('tables of a fleet', () => {
  let fleet: Fleet
  before(async () => {
    fleet = await startFleet(1, gatewayCount)
    expect(await fleet.publish(3)).to.equal(200)
    await waitForTables()
  })
  after(() => fleet.close())

  async function waitForTables (): Promise<void> {
    for (const gateway of fleet.gateways.keys()) {
      await eventually(`tables at gateway ${gateway}`, timeoutMs, async () => {
        const { status } = await fleet.call('POST', '/nowhere/1', {}, undefined, gateway)
        return status === 404 ? true : undefined
      })
    }
  }

  // Finds a line in the logs of the control hosts; lines arrive after the responses that they belong to.
  async function findControlLine (event: number, matches: (line: LogLine) => boolean): Promise<LogLine> {
    return await eventually(`event ${event}`, timeoutMs, () => {
      for (const program of fleet.controlPrograms.values()) {
        for (const text of program.errors().split('\n')) {
          if (!text.endsWith('}') || !text.includes(`"event":${event},`)) continue
          const line = JSON.parse(text) as LogLine
          if (matches(line)) return line
        }
      }
      return undefined
    })
  }

  // Failure (CONFIG on rothar-ops-grown): the leader encoded 1,336 routes once for each of 81 hosts, and polls timed out meanwhile.
  it('encodes a version at most once per control host, however many hosts need it', async () => {
    const encoded = await fleet.readControlCounter(Counter.TablesEncoded)
    expect(encoded).to.be.at.least(1)
    expect(encoded, `encodings of one version for ${gatewayCount} gateways`).to.be.at.most(fleet.controlPrograms.size)
  })

  // Failure (CONFIG on rothar-ops-grown): a version was acknowledged while gateways with a session served by an older one.
  it('acknowledges a version only once each gateway has activated it or has lost its session', async () => {
    const [paused] = fleet.gatewayPrograms
    if (paused === undefined) return expect.fail('there is no gateway')
    paused.child.kill('SIGSTOP')
    try {
      await eventually('an acknowledgement', timeoutMs, async () => await fleet.publish(9) === 200 ? true : undefined)
      const acknowledged = await findControlLine(LogEvents.publicationAccepted.number, line => line.value === 9)
      const ended = await findControlLine(LogEvents.hostLost.number, line => line.peer === paused.name)
      const events = [ended, acknowledged].sort((left, right) => Date.parse(left.time) - Date.parse(right.time)).map(line => line.event)
      expect(events, 'order of the end of the session and the acknowledgement').to.deep.equal([LogEvents.hostLost.number, LogEvents.publicationAccepted.number])
    } finally {
      paused.child.kill('SIGCONT')
    }
  })
})
