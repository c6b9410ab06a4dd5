import { expect } from 'chai'
import { type AccountQuotas, createAccountQuotas, defaultQuotaBounds } from '../src/process/accounts/accountQuotas.ts'
import { createAccountUseSums } from '../src/process/accounts/accountUseSums.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { createWindowLimit } from '../src/request/placement/accountLimit.ts'
import type { ClientAccount } from '../src/version/accounts.ts'
import { FakeClock } from './support/fakeClock.ts'

const hosts = 10
const account: ClientAccount = { name: 'a', keys: [], priority: undefined, ratePerSecond: 20, burst: 0 }
const { maximum } = createWindowLimit(account.ratePerSecond, account.burst, defaultQuotaBounds)
const stepMs = 10
const durationMs = 20_000
const maxDelayMs = 150
const timeoutMs = 200
const lostShare = 0.1
/** Requests that arrive at a host within a step while the account is busy. */
const busyPerStep = 3

/** Returns the fullest window of an account that sends far more than its limit, at hosts whose exchanges with the leader are late or lost. */
function findFullestWindow (seed: number): number {
  const random = createSeededRandom(seed)
  const clock = new FakeClock()
  const sums = createAccountUseSums()
  const admittedAt: number[] = []
  const pending: Array<{ at: number, run: () => void }> = []
  const later = (delayMs: number, run: () => void): void => { pending.push({ at: clock.now() + delayMs, run }) }
  const fleet = Array.from({ length: hosts }, (_, index) => createAccountQuotas(clock, createSilentLogger(), () => defaultQuotaBounds, `g-${index}`, `g-${index}`))

  // A call that its host has given up may still reach the leader, and an answer that is lost has changed what the leader counts.
  function call<Answer> (ask: () => Answer, end: (answer: Answer | undefined) => void): void {
    let isEnded = false
    const finish = (answer: Answer | undefined): void => {
      if (isEnded) return
      isEnded = true
      end(answer)
    }
    later(timeoutMs, () => { finish(undefined) })
    if (random.next() < lostShare) return
    later(random.next() < lostShare ? 3 * timeoutMs : random.next() * maxDelayMs, () => {
      const answer = ask()
      if (random.next() >= lostShare) later(random.next() * maxDelayMs, () => { finish(answer) })
    })
  }

  function report (quotas: AccountQuotas, holder: string): void {
    const use = quotas.describeUse()
    if (use === undefined) return
    const { sequence } = quotas
    call(() => {
      sums.record(holder, use, sequence)
      const described = sums.describe([account], defaultQuotaBounds, clock.now())
      const allotments = sums.allot(holder, [account], defaultQuotaBounds, clock.now())
      return allotments === undefined ? {} : { ...described, allotments, leadership: '1' }
    }, totals => {
      if (totals === undefined) quotas.cancelReport()
      else quotas.applyTotals(totals, use)
    })
  }

  function ask (quotas: AccountQuotas): void {
    const request = quotas.describeRequest(account)
    if (request === undefined) return
    call(() => ({ allotment: sums.allotRequested(request, account, defaultQuotaBounds, clock.now()) }), response => { quotas.applyAllotment(request, response) })
  }

  while (clock.now() < durationMs) {
    clock.jump(stepMs)
    const due = pending.filter(({ at }) => at <= clock.now()).sort((left, right) => left.at - right.at)
    for (const message of due) pending.splice(pending.indexOf(message), 1)
    for (const message of due) message.run()
    const isBusy = clock.now() > 2_000 && Math.floor(clock.now() / 1_500) % 3 !== 0
    for (const [index, quotas] of fleet.entries()) {
      for (let arriving = isBusy ? random.below(busyPerStep + 1) : 0; arriving > 0; arriving--) {
        const decision = quotas.admit(account, true)
        if (decision.isAdmitted) admittedAt.push(clock.now())
        else if (decision.isUndecided === true) ask(quotas)
      }
      if (random.next() < 0.2) report(quotas, `g-${index}`)
    }
  }
  let fullest = 0
  let first = 0
  for (const [last, at] of admittedAt.entries()) {
    while ((admittedAt[first] ?? 0) <= at - defaultQuotaBounds.windowMs) first++
    fullest = Math.max(fullest, last - first + 1)
  }
  return fullest
}

describe('allotments of client accounts', () => {
  // Guards against allotments that add up to more than the limit tolerates when calls are lost, or executed after their host has given them up.
  it('stay within the limit whatever calls are lost or late', () => {
    for (const seed of Array.from({ length: 30 }, (_, index) => index + 1)) {
      const fullest = findFullestWindow(seed)
      expect(fullest, `seed ${seed}`).to.be.at.most(maximum)
      expect(fullest, `seed ${seed}, in use`).to.be.above(maximum / 2)
    }
  })
})
