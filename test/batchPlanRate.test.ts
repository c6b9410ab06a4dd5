import { expect } from 'chai'
import { createBatchRunner } from '../src/process/fleet/batchRunner.ts'
import type { FleetLeader } from '../src/process/fleet/fleetLeader.ts'
import type { Replica } from '../src/process/log/replica.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createSystemRandom } from '../src/process/program/random.ts'
import { createControlState } from '../src/process/state/controlState.ts'
import { FakeClock } from './support/fakeClock.ts'

const durationMs = 1_000
const notificationIntervalMs = 5

/** Counts the plans of a second in which a load report arrives every few milliseconds, and each plan takes some time, the one before them longer. */
async function countPlans (reportIntervalMs: number, planMs = 0, stallMs = 0): Promise<number> {
  const clock = new FakeClock()
  const lifecycle = createLifecycle()
  const changed = createCondition(clock)
  let plans = 0
  const stall = { remainingMs: 0 }
  const fleet = {
    changed,
    batch: new Map(),
    reportIntervalMs,
    isLeading: () => true,
    getLeadership: () => 'a/1',
    listReadyServers () {
      plans++
      clock.jump(planMs + stall.remainingMs)
      stall.remainingMs = 0
      return []
    }
  } as unknown as FleetLeader
  const replica = { state: { term: 1, commitIndex: 1, termStartIndex: 1, appliedIndex: 1 } } as unknown as Replica
  createBatchRunner({
    fleet, replica, state: createControlState(), listSharedPromptParts: () => [], knownExecutors: () => [], getRegion: () => 'r1', clock, random: createSystemRandom(), logger: createSilentLogger(), metrics: createMetrics(), lifecycle, keepMs: 60_000
  })
  await clock.advance(200)
  stall.remainingMs = stallMs
  while (stall.remainingMs > 0) await clock.advance(notificationIntervalMs, notificationIntervalMs)
  plans = 0
  const end = clock.now() + durationMs
  while (clock.now() < end) {
    changed.notify()
    await clock.advance(notificationIntervalMs, notificationIntervalMs)
  }
  const counted = plans
  const closed = lifecycle.close()
  changed.notify()
  await clock.advance(5_000, 100)
  await closed
  return counted
}

describe('rate of batch plans', () => {
  // Each of 400 load reports a second led to a plan, on a leader that has less than one processor for everything.
  it('follows the interval of the load reports, and stays high with few hosts', async () => {
    expect(await countPlans(500)).to.be.within(5, durationMs / (500 / 8) + 1)
    expect(await countPlans(40)).to.be.within(40, durationMs / 10 + 1)
  })

  // Guards against a leader with thousands of open items that spends most of its time on plans, so that it has none for anything else.
  it('leaves four fifths of the time to other work when each plan takes long', async () => {
    expect(await countPlans(40, 20)).to.be.within(5, durationMs / (5 * 20) + 1)
  })

  // Guards against a leader that was frozen during a plan and makes no other one for several times as long.
  it('returns to its usual value after a plan during which the process was suspended', async () => {
    expect(await countPlans(40, 0, 7_000)).to.be.at.least(40)
  })
})
