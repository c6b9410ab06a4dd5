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
  alive: boolean
  /** Runs instead of applying a command; undefined goes on with applying it. */
  intercept: (command: Command, apply: () => Outcome) => 'lost' | Outcome | undefined | Promise<'lost' | Outcome | undefined>
  /** Makes a backend server known, without dispatching to it. */
  hear (standIn: StandIn, change?: object): BackendServer
  /** Dispatches to a backend server. */
  dispatch (server: BackendServer): void
  /** Seals a job and returns its items. */
  submit (job: string, route: string, items: ReadonlyArray<Partial<Item>>): void
  /** Ends dispatch and waits for it. */
  stop (): Promise<void>
  close (): Promise<void>
}

/**
 * Starts batch dispatch.
 * @returns the system
 */
export function startBatchSystem (): BatchSystem {
  const lifecycle = createLifecycle()
  const clock = createSystemClock()
  const logger = createSilentLogger()
  const metrics = createMetrics()
  const state = createControlState()
  const version = createCurrentVersion()
  const end = new AbortController()
  const running: Array<Promise<void>> = []
  const backendServers = createBackendServers(clock, logger)
  const routes = [routeSchema.parse({ name: 'engine', pool: 'engine' }), routeSchema.parse({ name: 'service', pool: 'service', idempotent: false })]
  const pools = [poolSchema.parse({ name: 'engine' }), poolSchema.parse({ name: 'service', protocol: 'service' })]
  applyCommand(state, { kind: CommandKind.Apply, operation: 'tables', expected: 0, tables: { routes, pools } })
  version.apply(state.configuration)
  let sequence = 0

  const control: ControlClient = {
    async execute (command) {
      system.commands.push(command)
      const answer = await system.intercept(command, () => applyCommand(state, command))
      if (answer === 'lost') return err(createFailure(FailureReason.Timeout, { step: Step.Execute }, 'the answer was lost'))
      return ok(answer ?? applyCommand(state, command))
    },
    async read () { throw new Error('not used') },
    async watch () { throw new Error('not used') }
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
    session: { entryHosts, cancelledJobs, changed: createCondition(), isAlive: () => system.alive, lapses: 0 },
    version,
    connections,
    protocols: { [ProtocolKind.Engine]: createEngineProtocol(), [ProtocolKind.Service]: createServiceProtocol() },
    completions,
    runs: createItemRuns(),
    leases: createLeaseDirectory(clock),
    liveWork: createLiveWork(clock, backendServers.find),
    quarantine,
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
    alive: true,
    intercept: () => undefined,
    hear (standIn, change = {}) {
      sequence++
      backendServers.recordAnnouncement({
        address: standIn.address, availabilityZone: 'zone-a', region: 'region-a', pool: 'engine', capacity: 16, models: [], fencingChecked: true, incarnation: 'first', sequence, leaving: false, running: 0, ...change
      }, 0)
      const server = backendServers.find(standIn.address)
      if (server === undefined) throw new Error('the backend server is not known')
      return server
    },
    dispatch (server) {
      running.push(runBatchDispatch(server, services, end.signal))
    },
    submit (job, route, items) {
      const all = items.map((item, number) => ({ name: `item-${number}`, input: `input ${job} ${number}`, maxTokens: 5, priority: Priority.Ordinary, ...item }))
      applyCommand(state, { kind: CommandKind.OpenUpload, upload: job, account: 'rothar', key: job, route, due: 0, time: 0 })
      applyCommand(state, { kind: CommandKind.AppendItems, upload: job, sequence: 0, items: all, time: 0 })
      applyCommand(state, { kind: CommandKind.Seal, upload: job, account: 'rothar', key: job, digest: job, count: all.length, time: 0 })
    },
    async stop () {
      end.abort()
      await Promise.all(running)
      await completions.sent(lifecycle.signal)
    },
    async close () {
      await system.stop()
      await lifecycle.close()
    }
  }
  return system
}

/** Commands of one kind. */
export function commandsOf<Kind extends CommandKind> (system: BatchSystem, kind: Kind): Array<Extract<Command, { readonly kind: Kind }>> {
  return system.commands.filter(command => command.kind === kind) as Array<Extract<Command, { readonly kind: Kind }>>
}

/** Items still granted to a holder. */
export function heldItems (system: BatchSystem): GrantReference[] {
  return [...system.state.jobs.held.values()].flatMap(held => [...held.values()])
}

/** Grants of an outcome. */
export function grantsOf (outcome: Outcome): readonly Grant[] {
  return outcome.kind === OutcomeKind.Grants ? outcome.grants : []
}
