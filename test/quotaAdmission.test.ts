import { expect } from 'chai'
import { err, ok, type Result } from 'neverthrow'
import { type AccountQuotas, createAccountQuotas, defaultQuotaBounds } from '../src/process/accounts/accountQuotas.ts'
import type { AllotmentRequest, AllotmentResponse } from '../src/process/accounts/accountUse.ts'
import { createFailure, type Failure, FailureReason, Step } from '../src/process/program/failure.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { Counter, createMetrics } from '../src/process/program/metrics.ts'
import { admitByQuota } from '../src/request/quotaAdmission.ts'
import type { ClientAccount } from '../src/version/accounts.ts'
import { FakeClock } from './support/fakeClock.ts'

const account: ClientAccount = { name: 'a', keys: [], priority: undefined, ratePerSecond: 4, burst: 0 }
const never = new AbortController().signal
const noAnswer = createFailure(FailureReason.Timeout, { step: Step.Report }, 'no response')

describe('admission by the limit of a client account', () => {
  let clock: FakeClock
  let quotas: AccountQuotas
  let asked: AllotmentRequest[]

  beforeEach(() => {
    clock = new FakeClock()
    quotas = createAccountQuotas(clock, createSilentLogger(), () => defaultQuotaBounds, 'g-1', 'g-1/1')
    asked = []
    clock.jump(1_000)
    quotas.applyTotals({ accountUse: { a: [10] }, gateways: 2, allotments: {} }, undefined)
  })

  async function admit (answer: () => Result<AllotmentResponse, Failure>, metrics = createMetrics()): Promise<boolean> {
    const control = {
      async acquireAllotment (request: AllotmentRequest) {
        asked.push(request)
        return answer()
      }
    }
    return (await admitByQuota(account, never, { view: { accountQuotas: quotas }, control, metrics })).isAdmitted
  }

  // Guards against refusals at a host that got no part of a limit that the others don't use up.
  it('waits for an allotment of the leader where the host has none left', async () => {
    const metrics = createMetrics()
    expect(await admit(() => ok({ allotment: 2 }), metrics)).to.equal(true)
    expect(await admit(() => ok({ allotment: 2 }), metrics)).to.equal(true)
    expect(asked).to.deep.equal([{ holder: 'g-1/1', sequence: 1, account: 'a', use: [0], wanted: 1 }])
    expect(metrics.read(Counter.AllotmentRequests, 'answered')).to.equal(1)
  })

  // Guards against a request to the leader for each refusal of a busy account.
  it('refuses at once after the leader had nothing to allot, until the next sums', async () => {
    expect(await admit(() => ok({ allotment: 0 }))).to.equal(false)
    expect(await admit(() => ok({ allotment: 5 }))).to.equal(false)
    expect(asked.length).to.equal(1)
    clock.jump(300)
    quotas.applyTotals({ accountUse: { a: [10] }, gateways: 2, allotments: {} }, undefined)
    expect(await admit(() => ok({ allotment: 5 }))).to.equal(true)
  })

  // Guards against hosts that wait for a lost leader with each request.
  it('asks no more after a call without an answer, until the next sums', async () => {
    quotas.applyTotals({ accountUse: { a: [90] }, gateways: 2, allotments: {} }, undefined)
    expect(await admit(() => err(noAnswer))).to.equal(false)
    expect(await admit(() => ok({ allotment: 5 }))).to.equal(false)
    expect(asked.length).to.equal(1)
  })

  // Failure: the answer to a report that was under way replaced what the leader had allotted meanwhile, and the leader counted too little.
  it('has no report under way while it asks, and reports although it asks all the time', async () => {
    const request = quotas.describeRequest(account) ?? expect.fail('no request')
    expect(quotas.describeUse()).to.equal(undefined)
    const prepared = quotas.prepareReport(never)
    expect(quotas.describeRequest({ ...account, name: 'b' })).to.equal(undefined)
    quotas.applyAllotment(request, { allotment: 3 })
    await prepared
    expect(quotas.describeUse()).to.deep.equal({ a: [0, 0, 0, 0, 3] })
    expect(quotas.describeRequest(account)).to.equal(undefined)
    quotas.cancelReport()
    expect(quotas.describeRequest(account)?.sequence).to.equal(3)
  })
})
