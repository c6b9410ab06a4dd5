import { expect } from 'chai'
import { busyFleets, busyScenarios, replayBusyAccount } from './support/busyAccount.ts'

/** Requests that an exact limiter would admit and that may be refused, as a share of all that it would admit. */
const maxShortfall = 0.01

describe('refused callers of a busy client account who return', () => {
  for (const fleet of busyFleets) {
    for (const position of fleet.positions) {
      for (const scenario of busyScenarios) {
        for (const seed of [1, 2, 3]) {
          const title = `account ${position} at ${fleet.hosts} hosts ${scenario.name}, seed ${seed}`
          let replayed: ReturnType<typeof replayBusyAccount>
          // Failure (QUOTA): all hosts named the same time to refused callers and saw room for a few requests when these came back.
          it(`keep the limit of ${title}`, () => {
            replayed = replayBusyAccount(fleet, position, scenario, seed)
            for (const { name, largest, maximum } of replayed.windows) expect(largest, name).to.be.at.most(maximum)
          })

          // Guards against refusals within the limit.
          it(`find almost all of the limit of ${title}`, () => {
            expect(replayed.shortfall).to.be.below(maxShortfall)
          })
        }
      }
    }
  }
})
