/**
 * Test doubles of the peers of a gateway: backend servers that respond by script, and a response that records what a
 * caller receives.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import {
  type BackendResponse, BackendResponseKind, type BackendRequest, BackendServerClient, type BackendServerTarget, type ExchangeFailure, ServerReachability
} from '../../src/connection/backendServerClient.ts'
import { createSystemClock } from '../../src/process/program/clock.ts'
import { createFailure, type Failure, FailureReason, Step } from '../../src/process/program/failure.ts'
import { type BackendServerRecord, ServerPhase } from '../../src/process/fleet/backendServerRegistry.ts'
import type { FleetUpdate } from '../../src/process/fleet/fleetMessages.ts'
import { createFleetView, type FleetView } from '../../src/process/fleet/fleetView.ts'
import { createGatewayDrain } from '../../src/process/fleet/gatewayDrain.ts'
import { createSilentLogger } from '../../src/process/program/logger.ts'
import { createMetrics } from '../../src/process/program/metrics.ts'
import { createSystemRandom } from '../../src/process/program/random.ts'
import { createStreamOrigins, type StreamOriginService } from '../../src/process/fleet/streamOrigins.ts'
import { createStreamRecordStore, type OriginLookup, type StreamRecord, type StreamRecordStore } from '../../src/process/fleet/streamRecords.ts'
import type { RecordedStreams } from '../../src/connection/internalRouter.ts'
import type { StreamKeeperClient } from '../../src/connection/streamKeeperLink.ts'
import { CallerResponse, type CallerRequest, type GatewayRefusal } from '../../src/request/callerExchange.ts'
import type { ForwardingServices } from '../../src/request/forwardedAttempt.ts'
import { type GatewayRoute, type GatewayTables, RouteKind } from '../../src/version/gatewayTables.ts'

/** A point at which a scripted server waits until the test lets it go on. */
export class ScriptGate {
  /** Resolves when a server waits at this point, or has passed it. */
  readonly reached: Promise<void>
  private readonly opened: Promise<void>
  private resolveReached: () => void = () => {}
  private resolveOpened: () => void = () => {}

  constructor () {
    this.reached = new Promise(resolve => { this.resolveReached = resolve })
    this.opened = new Promise(resolve => { this.resolveOpened = resolve })
  }

  /** Lets the server go on. */
  open (): void {
    this.resolveOpened()
  }

  /** Waits for `open`; called by the scripted server. */
  async pass (): Promise<void> {
    this.resolveReached()
    await this.opened
  }
}

/** How a scripted server handles one request. A gate after a piece is reached when the piece was relayed. */
export type Script =
  | { readonly does: 'answer', readonly pieces: readonly string[], readonly status?: number, readonly type?: string, readonly then?: 'end' | 'break' | 'hang', readonly unframed?: boolean, readonly headMs?: number, readonly pauseMs?: number, readonly endMs?: number, readonly headGate?: ScriptGate, readonly pieceGate?: ScriptGate, readonly endGate?: ScriptGate, readonly leaving?: boolean }
  | { readonly does: 'refuse', readonly leaving?: boolean }
  | { readonly does: 'fail', readonly sent: boolean }
  | { readonly does: 'hang' }

/** A request that a scripted server received. */
export interface Arrival {
  readonly server: string
  readonly request: BackendRequest
  readonly signal: AbortSignal
}

/** Backend servers that handle each request by the next script, and refuse it when no script is left. */
export class ScriptedServers extends BackendServerClient {
  readonly arrivals: Arrival[] = []
  /** Ids of servers that have stopped listening. */
  readonly stopped = new Set<string>()
  private readonly scripts: Script[]

  constructor (scripts: readonly Script[]) {
    super()
    this.scripts = [...scripts]
  }

  override async probe ({ id }: BackendServerTarget): Promise<ServerReachability> {
    return this.stopped.has(id) ? ServerReachability.Stopped : ServerReachability.Listening
  }

  override async send (target: BackendServerTarget, request: BackendRequest, signal: AbortSignal): Promise<Result<BackendResponse, ExchangeFailure>> {
    this.arrivals.push({ server: target.id, request, signal })
    const script = this.scripts.shift() ?? { does: 'refuse' }
    const connectionReset = createFailure(FailureReason.Reset, { step: Step.FirstByte, peer: target.address }, 'connection reset')
    switch (script.does) {
      case 'refuse': return ok({ kind: BackendResponseKind.NotRun, status: 503, requestLimit: undefined, isLeaving: script.leaving === true })
      case 'fail': return err({ sent: script.sent, failure: connectionReset })
      case 'hang':
        await waitForAbort(signal)
        return err({ sent: true, failure: connectionReset })
      case 'answer': {
        await script.headGate?.pass()
        if (script.headMs !== undefined) await new Promise(resolve => setTimeout(resolve, script.headMs))
        const headers = ['content-type', script.type ?? 'text/event-stream', 'x-server-stamp', target.id]
        return ok({ kind: BackendResponseKind.Response, status: script.status ?? 200, requestLimit: undefined, isLeaving: script.leaving === true, isFramed: script.unframed !== true, headers, body: streamChunks(script, signal, connectionReset) })
      }
    }
  }
}

async function * streamChunks (script: Script & { does: 'answer' }, signal: AbortSignal, connectionReset: Error): AsyncIterable<Buffer> {
  for (const piece of script.pieces) {
    yield Buffer.from(piece)
    await script.pieceGate?.pass()
    if (script.pauseMs !== undefined) await new Promise(resolve => setTimeout(resolve, script.pauseMs))
  }
  await script.endGate?.pass()
  if (script.endMs !== undefined) await new Promise(resolve => setTimeout(resolve, script.endMs))
  if (script.then === 'break') throw connectionReset
  if (script.then !== 'hang') return
  await waitForAbort(signal)
  throw connectionReset
}

function waitForAbort (signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) return resolve()
    signal.addEventListener('abort', () => resolve(), { once: true })
  })
}

/** Records what a caller receives. */
export class RecordedResponse extends CallerResponse {
  refusal: GatewayRefusal | undefined
  retryAfterMs: number | undefined
  status: number | undefined
  headers: readonly string[] = []
  isEndCertain = true
  text = ''
  isComplete = false
  isAborted = false

  override refuse (refusal: GatewayRefusal, retryAfterMs?: number): void {
    this.refusal = refusal
    this.retryAfterMs = retryAfterMs
  }

  override start (status: number, headers: readonly string[], isEndCertain: boolean): void {
    this.status = status
    this.isEndCertain = isEndCertain
    this.headers = headers
  }

  override async write (piece: Buffer): Promise<void> {
    this.text += piece.toString()
  }

  override end (): void {
    this.isComplete = true
  }

  override abort (): void {
    this.isAborted = true
  }
}

/** Builds a route of service `s`. */
export function routeOf (overrides: Partial<GatewayRoute> = {}): GatewayRoute {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/p/',
    kind: RouteKind.Streaming,
    targets: [{ service: 's', weight: 1 }],
    timeoutMs: 2_000,
    objectiveMs: 300,
    pauseMs: 250,
    attempts: 2,
    priority: 0,
    resumable: true,
    waitingTokens: 0,
    dueMs: 0,
    giveUpMs: 0,
    ...overrides
  }
}

/** Builds tables with the routes and service `s`. */
export function tablesOf (version: number, routes: readonly GatewayRoute[]): GatewayTables {
  return { version, routes, services: [{ name: 's', slots: 8 }], limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerMs: 3_000, idleMs: 15_000 } }
}

/** Builds the record of a ready backend server of service `s`. */
export function recordOf (id: string, overrides: Partial<BackendServerRecord> = {}): BackendServerRecord {
  return {
    id, service: 's', address: `10.0.0.1:${id.length}`, availabilityZone: 'z1', softwareVersion: 'v1', slots: 8, leaving: false, startedAt: 1, sequence: 1, phase: ServerPhase.Ready, revision: 1, ...overrides
  }
}

/** Builds a complete update with three ready servers, and without tables unless they are given. */
export function fleetUpdateOf (overrides: Partial<FleetUpdate> = {}): FleetUpdate {
  return {
    leadership: 'a/1', serversRevision: 1, servers: [recordOf('i-1'), recordOf('i-2'), recordOf('i-3')], isComplete: true, hostsRevision: 1, controlHosts: [], ...overrides
  }
}

/** Builds a caller's request; `disconnect` signals that the caller has closed its connection. */
export function requestOf (overrides: Partial<CallerRequest> = {}): { readonly request: CallerRequest, readonly disconnect: () => void } {
  const disconnectController = new AbortController()
  return {
    disconnect: () => disconnectController.abort(),
    request: {
      id: 'q-1',
      host: 'a.example',
      method: 'POST',
      path: '/p/1?x=2',
      headers: ['X-Request-Id', 'q-1', 'X-Model', 'm'],
      body: Buffer.from('body'),
      remainder: undefined,
      resumeAfter: undefined,
      sharedPromptParts: [],
      sharedPromptTokens: 0,
      receivedAt: performance.now(),
      deadlineAt: Infinity,
      disconnectSignal: disconnectController.signal,
      ...overrides
    }
  }
}

/** The hosts that keep the records of streams, in memory. */
export class FakeStreamKeepers implements StreamKeeperClient {
  readonly stores = new Map<string, StreamRecordStore>()
  /** Addresses of hosts that fail each call. */
  readonly lost = new Set<string>()
  /** Addresses of hosts that answer no call. */
  readonly silent = new Set<string>()

  constructor (addresses: readonly string[]) {
    for (const address of addresses) this.restart(address)
  }

  /** Starts a host without any record. */
  restart (address: string): void {
    this.stores.set(address, createStreamRecordStore(createSystemClock()))
  }

  async record (address: string, records: readonly StreamRecord[]): Promise<Result<RecordedStreams, Failure>> {
    const store = await this.call(address)
    if (store.isErr()) return err(store.error)
    for (const record of records) store.value.record(record)
    return ok({ count: records.length, start: store.value.start })
  }

  async find (address: string, id: string): Promise<Result<OriginLookup, Failure>> {
    return (await this.call(address)).map(store => store.find(id))
  }

  private async call (address: string): Promise<Result<StreamRecordStore, Failure>> {
    await new Promise(resolve => setTimeout(resolve, this.silent.has(address) ? silentCallMs : 1))
    const store = this.stores.get(address)
    if (store !== undefined && !this.lost.has(address) && !this.silent.has(address)) return ok(store)
    return err(createFailure(FailureReason.Timeout, { step: Step.FindStreams, peer: address }, 'no answer'))
  }
}

/** Time until a call to a silent host fails, in milliseconds. */
const silentCallMs = 250

/** Builds the services of a forwarded request, with a fleet view that holds the routes and three servers unless `update` replaces them. */
export function forwardingServicesOf (client: BackendServerClient, routes: readonly GatewayRoute[], update: Partial<FleetUpdate> = {}, keepers: StreamKeeperClient = new FakeStreamKeepers([])): ForwardingServices & { readonly view: FleetView, readonly origins: StreamOriginService } {
  const clock = createSystemClock()
  const logger = createSilentLogger()
  const view = createFleetView(clock, logger, () => [])
  const tables = update.tables ?? tablesOf(1, routes)
  view.applyUpdate(fleetUpdateOf({ tables, tablesVersion: tables.version, tablesAgeMs: 0, ...update }), clock.now())
  const control = { reportCrash: async () => ok({ isBlocked: false }), acquireTrial: async () => ok(true), acquirePermit: async () => ok({ isGranted: true, retryMs: 0 }), acquireAllotment: async () => ok({ allotment: undefined }) }
  const random = createSystemRandom()
  const metrics = createMetrics()
  const origins = createStreamOrigins({ view, client: keepers, clock, random, logger, metrics })
  return { view, drain: createGatewayDrain(), client, origins, control, availabilityZone: 'z1', region: 'r1', getRegion: () => 'r1', clock, random, logger, metrics }
}
