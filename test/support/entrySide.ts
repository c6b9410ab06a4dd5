/**
 * The control stream and batch dispatch of an entry host. Calls to control stay pending until the test resolves them.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { eventually } from '../../scripts/processes.ts'
import { runBatchDispatch } from '../../src/connection/batchDispatch.ts'
import { createControlStream } from '../../src/connection/controlStream.ts'
import { type Command, CommandKind, type Outcome, OutcomeKind, type RequeuedItem } from '../../src/process/state/commands.ts'
import { createCondition } from '../../src/process/program/condition.ts'
import { createFailure, type Failure, FailureReason, Step } from '../../src/process/program/failure.ts'
import { createSilentLogger } from '../../src/process/program/logger.ts'
import { createByteBudget } from '../../src/process/jobs/byteBudget.ts'
import { createItemRuns } from '../../src/process/jobs/itemRuns.ts'
import { createLeaseDirectory } from '../../src/process/routing/leaseDirectory.ts'
import { createLiveWork } from '../../src/process/routing/liveWork.ts'
import { createQuarantine } from '../../src/process/routing/quarantine.ts'
import { createMetrics } from '../../src/process/program/metrics.ts'
import { createSeededRandom } from '../../src/process/program/random.ts'
import type { WatchResponse, WatchRequest } from '../../src/process/state/watchMessages.ts'
import { createCurrentVersion } from '../../src/version/currentVersion.ts'
import { tables } from './stateCommands.ts'
import { FakeClock } from './fakeClock.ts'

/** The entry host as its polls describe it, without its holder. */
export const host = { host: 'h', callerAddress: '', internalAddress: '', availabilityZone: 'z', region: 'r', draining: false }
const defaultResponse: WatchResponse = { version: 1, directoryRevision: 'd', appliedIndex: 5, cancelledJobs: [] }
/** Yields for one turn of the event loop. */
export const yieldToEventLoop = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

/**
 * Starts the control stream of an entry host, with one backend server to dispatch to.
 * @param idempotent - whether the route is idempotent
 * @param stopJobs - replaces the function that stops the streams of cancelled jobs
 * @returns the stream, what it sent, requeued and stopped, and functions that answer its calls to control
 */
export function createEntrySide (idempotent = true, stopJobs?: () => Promise<void>) {
  const clock = new FakeClock()
  const version = createCurrentVersion()
  const end = new AbortController()
  const watches: Array<{ readonly request: WatchRequest, readonly settle: (result: Result<WatchResponse, Failure>) => void }> = []
  const calls: Array<{ readonly command: Command, readonly settle: (outcome: Outcome) => void }> = []
  const sent: string[] = []
  const requeued: RequeuedItem[] = []
  const stopped: string[] = []
  const runs = createItemRuns()
  const control: any = {
    watch: (request: WatchRequest) => new Promise(resolve => watches.push({ request, settle: resolve })),
    execute: (command: Command) => new Promise(resolve => calls.push({ command, settle: outcome => resolve(ok(outcome)) }))
  }
  const services: any = { holder: 'h', control, version, clock, runs, metrics: createMetrics(), connections: { to: () => ({}) } }
  const run = (_: unknown, attempt: { requestId: string, signal: AbortSignal }) => {
    sent.push(attempt.requestId)
    return new Promise(resolve => attempt.signal.addEventListener('abort', () => {
      stopped.push(attempt.requestId)
      resolve(err({ sent: true, failure: createFailure(FailureReason.Aborted, { step: Step.Execute }, 'aborted') }))
    }))
  }
  services.protocols = { engine: { run } }
  services.completions = { complete () {}, requeue: (item: RequeuedItem) => requeued.push(item) }
  const stream = createControlStream({
    control, version, clock, random: createSeededRandom(1), logger: createSilentLogger(), signal: end.signal, describe: () => ({ ...host, holder: 'h' }), stopJobs: stopJobs ?? (jobs => runs.stopJobs(jobs)), stopAll: () => runs.stopAll()
  })
  services.session = stream.session
  let sequence = 0
  Object.assign(services, {
    location: { availabilityZone: 'z', region: 'r' },
    leases: createLeaseDirectory(clock),
    liveWork: createLiveWork(clock, () => undefined),
    quarantine: createQuarantine({ clock, logger: createSilentLogger(), broadcast () {} }),
    inspection: { inspect: async () => {} },
    getByteBudget: () => createByteBudget(),
    nextSequence: () => ++sequence,
    random: createSeededRandom(1),
    logger: createSilentLogger(),
    ended: end.signal
  })
  const server: any = {
    announcement: { address: 'b', pool: 'p', availabilityZone: 'z', region: 'r', incarnation: '1', capacity: 8, leaving: false }, liveInFlight: 0, batchInFlight: 0, liveChanged: createCondition()
  }
  stream.run().catch(() => {})
  const configuration = { version: 1, pools: tables.pools, routes: tables.routes.map(route => ({ ...route, idempotent })) }

  async function answerPoll (overrides: Partial<WatchResponse> = {}): Promise<WatchRequest> {
    const watch = await eventually('a poll', 2_000, () => watches.shift())
    watch.settle(ok({ ...defaultResponse, configuration, ...overrides }))
    await yieldToEventLoop()
    return watch.request
  }

  async function waitForCommand (kind: CommandKind): Promise<(outcome: Outcome) => void> {
    // Claims run concurrently with other commands, so commands are matched by kind, not by order.
    const pending = await eventually(kind, 2_000, () => {
      const position = calls.findIndex(({ command }) => command.kind === kind)
      return position < 0 ? undefined : calls.splice(position, 1)[0]
    })
    return pending.settle
  }

  async function dispatchUntilClaim (): Promise<(outcome: Outcome) => void> {
    await answerPoll()
    runBatchDispatch(server, services, end.signal).catch(() => {})
    const resolveLease = await waitForCommand(CommandKind.AcquireLease)
    resolveLease({ kind: OutcomeKind.Lease, holder: 'h', number: 1, granted: true })
    return await waitForCommand(CommandKind.Claim)
  }
  return { clock, version, end, watches, sent, requeued, stopped, stream, answerPoll, waitForCommand, dispatchUntilClaim }
}
