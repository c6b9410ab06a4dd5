import { expect } from 'chai'
import { createItemDurationEstimator } from '../src/process/fleet/itemDurationEstimator.ts'
import { createServicePlanner, type ServicePlannerInputs } from '../src/process/fleet/servicePlanner.ts'
import type { OpenItem } from '../src/process/fleet/openItems.ts'
import { recordOf } from './support/fakeFleet.ts'

/** Events of a usual item; each takes 50 ms. */
const usualEvents = 100

describe('remaining run time of an item', () => {
  const now = 10_000
  const durationEstimator = createItemDurationEstimator()
  durationEstimator.addSample(usualEvents, 5_000)
  const clock = { now: () => now, wallTime: () => 0 }
  const planner = createServicePlanner({ clock, durationEstimator, routes: { find: () => undefined } } as unknown as ServicePlannerInputs)

  function findRemainingMs (savedEvents: number, ranMs: number): number | undefined {
    const entry = {
      key: 'j i',
      item: { id: 'i' },
      record: { submission: { acceptedAt: 0 }, progress: new Map([['i', { data: Array.from({ length: savedEvents }, () => 'x') }]]) },
      run: { startedAt: now - ranMs, startEvents: 0 }
    } as unknown as OpenItem
    return planner.describeUrgency([entry])[0]?.remainingMs
  }

  it('counts events that are not saved yet', () => {
    expect(findRemainingMs(0, 1_500)).to.equal(3_500)
  })

  // Such items counted as about to end, were never interrupted for live requests, and took no room in the plan.
  it('is not used up while the server is slow or the item is longer than usual', () => {
    expect(findRemainingMs(20, 20_000), 'on a slow server').to.equal(2_000)
    expect(findRemainingMs(usualEvents + 1, 6_000), 'longer than usual').to.equal(1_250)
  })
})

describe('order in which a server over its slots loses items', () => {
  // Failure: without waves of live requests, items were interrupted in another order than that of their saved events.
  it('follows the saved events', () => {
    const now = 10_000
    const durationEstimator = createItemDurationEstimator()
    durationEstimator.addSample(usualEvents, 5_000)
    const entryOf = (id: string, savedEvents: number, ranMs: number): OpenItem => ({
      key: id,
      item: { id },
      record: { submission: { acceptedAt: 0 }, progress: new Map([[id, { data: Array.from({ length: savedEvents }, () => 'x') }]]) },
      run: { startedAt: now - ranMs, startEvents: 0 }
    }) as unknown as OpenItem
    const planner = createServicePlanner({
      clock: { now: () => now, wallTime: () => 0 },
      durationEstimator,
      routes: { find: () => ({ dueMs: 18_000 }), findLiveObjectiveMs: () => 303 },
      backoffs: { isBackingOff: () => false },
      fleet: { getLoad: () => ({ live: 1, batch: 2 }), isSuspect: () => false, permits: { countItemPermits: () => Infinity }, reportIntervalMs: 50, requestMs: 700 }
    } as unknown as ServicePlannerInputs)
    const running = new Map([['i-1', [entryOf('fewer', 20, 3_000), entryOf('more', 30, 0)]]])
    const situation = planner.describe('s', [recordOf('i-1', { slots: 2 })], running)
    expect(situation.servers[0]?.items).to.deep.equal(['more', 'fewer'])
    expect(planner.plan(situation, undefined).interruptions).to.deep.equal(['fewer'])
  })
})
