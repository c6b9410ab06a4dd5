/**
 * Batch dispatch to stand-in backend servers with a fake control client, for tests of its failures.
 * @module
 */
import { err, ok } from 'neverthrow'
import { createBackendServerConnections } from '../../src/connection/backendServerConnection.ts'
import { runBatchDispatch } from '../../src/connection/batchDispatch.ts'
import type { BatchServices } from '../../src/connection/batchServices.ts'
import type { ControlClient } from '../../src/connection/controlClient.ts'
import { createEngineProtocol } from '../../src/connection/engineProtocol.ts'
import { createServiceProtocol } from '../../src/connection/serviceProtocol.ts'
import { type BackendServer, createBackendServers } from '../../src/process/routing/backendServers.ts'
import { createByteBudget } from '../../src/process/jobs/byteBudget.ts'
import { createSystemClock } from '../../src/process/program/clock.ts'
import { type Command, CommandKind, type Grant, type GrantReference, type Item, type Outcome, OutcomeKind, Priority } from '../../src/process/state/commands.ts'
import { createCompletions } from '../../src/process/jobs/completions.ts'
import { createCondition } from '../../src/process/program/condition.ts'
import { applyCommand, type ControlState, createControlState } from '../../src/process/state/controlState.ts'
import { createFailure, FailureReason, Step } from '../../src/process/program/failure.ts'
import { createCrashInspection } from '../../src/connection/crashInspection.ts'
import { createQuarantine } from '../../src/process/routing/quarantine.ts'
import { createItemRuns } from '../../src/process/jobs/itemRuns.ts'
import { createLeaseDirectory } from '../../src/process/routing/leaseDirectory.ts'
import { createLifecycle } from '../../src/process/program/lifecycle.ts'
import { createLiveWork } from '../../src/process/routing/liveWork.ts'
import { createSilentLogger } from '../../src/process/program/logger.ts'
import { createMetrics } from '../../src/process/program/metrics.ts'
import { createSeededRandom } from '../../src/process/program/random.ts'
import type { EntryHost } from '../../src/process/state/sessions.ts'
import { createCurrentVersion } from '../../src/version/currentVersion.ts'
import { poolSchema, ProtocolKind, routeSchema } from '../../src/version/tables.ts'
import type { StandIn } from '../standIn/standIn.ts'

/** Batch dispatch under test. Fields that are not read-only may be changed by a test. */
export interface BatchSystem {
  readonly services: BatchServices
  readonly state: ControlState
  readonly commands: Command[]
  readonly cancelledJobs: Set<string>
  readonly entryHosts: EntryHost[]
  isSessionAlive: boolean
  /** Called for each command. Undefined applies the command, an outcome is returned in its place, and `lost` fails with a timeout. */
  intercept: (command: Command, apply: () => Outcome) => 'lost' | Outcome | undefined | Promise<'lost' | Outcome | undefined>
  /** Records an announcement of the backend server, without dispatching to it. */
  announce (standIn: StandIn, change?: object): BackendServer
  /** Starts the task that dispatches to the backend server. */
  dispatch (server: BackendServer): void
  /** Uploads and seals a job; fields that an item leaves out get a default. */
  submit (job: string, route: string, items: ReadonlyArray<Partial<Item>>): void
  /** Stops dispatch, and waits for its tasks and for the completions that they recorded. */
  stop (): Promise<void>
  close (): Promise<void>
}

/**
 * Builds the services of batch dispatch over a control state in memory.
 * @returns the system
 */
export function startBatchSystem (): BatchSystem {
  const lifecycle = createLifecycle()
  const clock = createSystemClock()
  const logger = createSilentLogger()
  const metrics = createMetrics()
  const state = createControlState()
  const version = createCurrentVersion()
  const dispatchAbort = new AbortController()
  const dispatchTasks: Array<Promise<void>> = []
  const backendServers = createBackendServers(clock, logger)
  const routes = [routeSchema.parse({ name: 'engine', pool: 'engine' }), routeSchema.parse({ name: 'service', pool: 'service', idempotent: false })]
  const pools = [poolSchema.parse({ name: 'engine' }), poolSchema.parse({ name: 'service', protocol: 'service' })]
  applyCommand(state, { kind: CommandKind.Apply, operation: 'tables', expected: 0, tables: { routes, pools } })
  version.apply(state.configuration)
  let sequence = 0

  const control: ControlClient = {
    async execute (command) {
      system.commands.push(command)
      const outcome = await system.intercept(command, () => applyCommand(state, command))
      if (outcome === 'lost') return err(createFailure(FailureReason.Timeout, { step: Step.Execute }, 'the response was lost'))
      return ok(outcome ?? applyCommand(state, command))
    },
    async read () { throw new Error('dispatch must not read from control') },
    async watch () { throw new Error('dispatch must not watch control') }
  }
  const completions = createCompletions(control, logger)
  lifecycle.run(signal => completions.run(signal))
  const cancelledJobs = new Set<string>()
  const entryHosts: EntryHost[] = []
  const connections = createBackendServerConnections({ metrics, lifecycle, isInOtherRegion: () => false })
  const quarantine = createQuarantine({ clock, logger, broadcast () {} })
  const services: BatchServices = {
    holder: 'host-a/1',
    location: { availabilityZone: 'zone-a', region: 'region-a' },
    control,
    session: { entryHosts, cancelledJobs, changed: createCondition(), isAlive: () => system.isSessionAlive, lapses: 0 },
    version,
    connections,
    protocols: { [ProtocolKind.Engine]: createEngineProtocol(), [ProtocolKind.Service]: createServiceProtocol() },
    completions,
    runs: createItemRuns(),
    leases: createLeaseDirectory(clock),
    liveWork: createLiveWork(clock, backendServers.find),
    inspection: createCrashInspection({ connections, backendServers, quarantine }),
    getByteBudget: () => budget,
    nextSequence: () => ++sequence,
    clock,
    random: createSeededRandom(1),
    logger,
    metrics,
    ended: lifecycle.signal
  }
  const budget = createByteBudget()
  const system: BatchSystem = {
    services,
    state,
    cancelledJobs,
    entryHosts,
    commands: [],
    isSessionAlive: true,
    intercept: () => undefined,
    announce (standIn, change = {}) {
      sequence++
      backendServers.recordAnnouncement({
        address: standIn.address, availabilityZone: 'zone-a', region: 'region-a', pool: 'engine', capacity: 16, models: [], fencingChecked: true, incarnation: 'first', sequence, leaving: false, running: 0, ...change
      }, 0)
      const server = backendServers.find(standIn.address)
      if (server === undefined) throw new Error('the backend server is not listed after its announcement')
      return server
    },
    dispatch (server) {
      dispatchTasks.push(runBatchDispatch(server, services, dispatchAbort.signal))
    },
    submit (job, route, items) {
      const allItems = items.map((item, index) => ({ name: `item-${index}`, input: `input ${job} ${index}`, maxTokens: 5, priority: Priority.Ordinary, ...item }))
      applyCommand(state, { kind: CommandKind.OpenUpload, upload: job, account: 'rothar', key: job, route, due: 0, time: 0 })
      applyCommand(state, { kind: CommandKind.AppendItems, upload: job, sequence: 0, items: allItems, time: 0 })
      applyCommand(state, { kind: CommandKind.Seal, upload: job, account: 'rothar', key: job, digest: job, count: allItems.length, time: 0 })
    },
    async stop () {
      dispatchAbort.abort()
      await Promise.all(dispatchTasks)
      await completions.sent(lifecycle.signal)
    },
    async close () {
      await system.stop()
      await lifecycle.close()
    }
  }
  return system
}

/** Lists the commands of one kind that were sent to control. */
export function commandsOf<Kind extends CommandKind> (system: BatchSystem, kind: Kind): Array<Extract<Command, { readonly kind: Kind }>> {
  return system.commands.filter(command => command.kind === kind) as Array<Extract<Command, { readonly kind: Kind }>>
}

/** Lists the items that are granted to any holder. */
export function heldItems (system: BatchSystem): GrantReference[] {
  return [...system.state.jobs.held.values()].flatMap(held => [...held.values()])
}

/** Lists the grants of an outcome; empty for an outcome of another kind. */
export function grantsOf (outcome: Outcome): readonly Grant[] {
  return outcome.kind === OutcomeKind.Grants ? outcome.grants : []
}
