/**
 * Calls from a host to the leader of the control hosts. Commands are safe to repeat, so a call is retried on another
 * control host until its timeout.
 * @module
 */
import { err, type Result } from 'neverthrow'
import type { AllotmentRequest, AllotmentResponse } from '../process/accounts/accountUse.ts'
import type { Clock } from '../process/program/clock.ts'
import { type Command, CommandKind, type Outcome, OutcomeKind } from '../process/state/commands.ts'
import { createFailure, type Failure, FailureReason, Step } from '../process/program/failure.ts'
import { Counter, type Metrics } from '../process/program/metrics.ts'
import { type QueryResponse, type Query, QueryKind } from '../process/state/queries.ts'
import type { BackendServerRecord, Heartbeat } from '../process/fleet/backendServerRegistry.ts'
import { fleetLongPollMs, type FleetUpdate, leaveConfirmationTimeoutMs, type FleetWatchRequest, type LimitReport, type LoadReport, type LoadTotals, type PermitRequest, type PermitResponse, type ServerCrashReport, type ServerCrashVerdict, type TablesRequest, type TablesResponse, type TrialRequest } from '../process/fleet/fleetMessages.ts'
import type { RunPoll, RunReports, RunUpdate } from '../process/fleet/runMessages.ts'
import type { Random } from '../process/program/random.ts'
import type { WatchResponse, WatchRequest } from '../process/state/watchMessages.ts'
import { longPollMs } from '../process/state/watchMessages.ts'
import { createControlHostBackoffs } from './controlHostBackoffs.ts'
import { createTimeLimitContext, type InternalClients, TrafficClass } from './internalClient.ts'

/** Timeout for one call to one control host, in milliseconds, in addition to the time of a long poll. */
const callTimeoutMs = 2_000

/** Timeout for the response to a fleet call, in milliseconds, in addition to the time of a long poll. */
const fleetResponseTimeoutMs = 700

/** Timeout for the report of a crash, in milliseconds. The request waits meanwhile; the leader takes up to 250 ms, and a round trip 40 ms. */
const crashReportTimeoutMs = 350

/** Timeout for asking whether a request may be sent, in milliseconds. */
const permissionTimeoutMs = 200

/** Longest time for one attempt of a query at a control host that need not be the leader, in milliseconds, in addition to the time of a long poll. */
const maxReadAttemptMs = 700

/** Shortest time for such an attempt, in milliseconds: several round trips between regions. */
const minReadAttemptMs = 250

/** Number of further control hosts for which an attempt leaves time: as many as may be lost at once. */
const furtherReadAttempts = 2

/** Timeout for fetching tables from one control host, in milliseconds; doubles after a fetch that failed at every host, since large tables may take longer on a slow connection. */
const initialTablesTimeoutMs = 700

/** Longest timeout for fetching tables from one control host, in milliseconds. */
const maxTablesTimeoutMs = 5_600

/** Maximum delay between two attempts, in milliseconds; the delay is random. */
const maxRetryDelayMs = 200

/** Commands that may be large or frequent; they use separate connections so that they never delay a long poll. */
const batchCommands: ReadonlySet<CommandKind> = new Set([
  CommandKind.AppendItems, CommandKind.Claim, CommandKind.Start, CommandKind.Complete, CommandKind.Requeue, CommandKind.Submit
])

/** Commands of the gateway, which are retried on another control host when one does not respond soon. */
const gatewayCommands: ReadonlySet<CommandKind> = new Set([CommandKind.Publish, CommandKind.Submit, CommandKind.EndSubmission])

/**
 * Timeout for the first attempt of a gateway command at a host that is silent, in milliseconds: several round trips between regions. A leader that
 * responds to other calls is busy with the command; only if the connection itself does not work, the command is sent once more on a new one.
 */
const gatewayAttemptTimeoutMs = 800

/** Reasons by which an attempt is known not to be executed, now or later. */
const unexecutedReasons: ReadonlySet<FailureReason> = new Set([FailureReason.NotLeader, FailureReason.Refused, FailureReason.Rejected, FailureReason.NotFound])

// The leader accepts no further command, since too many wait already.
function isRejectedByLeader ({ reason, step }: Failure): boolean {
  return reason === FailureReason.Rejected && step === Step.Propose
}

function selectTrafficClass (command: Command): TrafficClass {
  // A document of many routes must not delay heartbeats and polls.
  if (command.kind === CommandKind.Publish) return TrafficClass.Tables
  return batchCommands.has(command.kind) ? TrafficClass.Batch : TrafficClass.Control
}

// Results and bodies of items are large, so they do not share a connection with long polls.
function selectQueryClass (query: Query): TrafficClass {
  return query.kind === QueryKind.SubmissionResults || query.kind === QueryKind.SubmittedBody ? TrafficClass.Batch : TrafficClass.Control
}

function getLongPollMs (query: Query): number {
  return query.kind === QueryKind.SubmissionResults ? query.waitMs : 0
}

function limitLongPoll (query: Query, maxWaitMs: number): Query {
  return query.kind === QueryKind.SubmissionResults ? { ...query, waitMs: Math.max(0, Math.min(query.waitMs, maxWaitMs)) } : query
}

/** Sends commands, queries and long polls to the leader. */
export interface ControlClient {
  /**
   * Executes a command.
   * @param command - the command
   * @param timeoutMs - timeout including all attempts, in milliseconds; 10 s by default
   * @returns the outcome, or the failure of the last attempt
   */
  execute (command: Command, timeoutMs?: number): Promise<Result<Outcome, Failure>>
  /**
   * Runs a query as a confirmed (linearizable) read.
   * @param query - the query
   * @param timeoutMs - timeout including all attempts, in milliseconds; 5 s by default
   * @returns the result of the query, or the failure of the last attempt
   */
  read (query: Query, timeoutMs?: number): Promise<Result<QueryResponse, Failure>>
  /**
   * Sends one long poll; it is not retried.
   * @param request - the state known to this host
   * @returns the response, or a failure
   */
  watch (request: WatchRequest): Promise<Result<WatchResponse, Failure>>
}

/** Calls from fleet hosts to the leader. */
export interface FleetClient {
  /**
   * Sends one long poll for updates of the fleet; it is not retried.
   * @param request - the state known to this host
   * @returns the update, or a failure
   */
  watchFleet (request: FleetWatchRequest): Promise<Result<FleetUpdate, Failure>>
  /**
   * Fetches the tables in force from the first control host that responds, the closest first, until one has the required version.
   * @param request - the version of this host and the required one
   * @returns the tables if they are newer than those of this host, or the failure of the last attempt
   */
  fetchTables (request: TablesRequest): Promise<Result<TablesResponse, Failure>>
  /**
   * Asks the leader whether every gateway serves by a version of the tables or a later one.
   * @param version - the version
   * @param timeoutMs - how long to wait for the gateways, in milliseconds
   * @returns nothing once every gateway does, or the failure of the last attempt
   */
  confirmTables (version: number, timeoutMs: number): Promise<Result<void, Failure>>
  /**
   * Reports the load of this host once; it is not retried.
   * @param report - the load
   * @returns the totals over all hosts, or a failure
   */
  reportLoad (report: LoadReport): Promise<Result<LoadTotals, Failure>>
  /**
   * Reports a crash of a backend server once; it is not retried.
   * @param report - the backend server and the traits of a request that was in flight
   * @returns whether the request may be sent again, or a failure
   */
  reportCrash (report: ServerCrashReport): Promise<Result<ServerCrashVerdict, Failure>>
  /**
   * Asks whether a request with traits on trial may be sent; it is not retried.
   * @param trial - the traits of the request
   * @returns whether it may, or a failure
   */
  acquireTrial (trial: TrialRequest): Promise<Result<boolean, Failure>>
  /**
   * Reports limits and leaving servers that this host has read in responses once; it is not retried.
   * @param report - the limits and the servers
   * @returns nothing, or a failure
   */
  reportLimits (report: LimitReport): Promise<Result<void, Failure>>
  /**
   * Asks whether a request may be sent to a backend server with a limit; it is not retried.
   * @param permit - the server, with the limit that this host knows
   * @returns whether it may, or a failure
   */
  acquirePermit (permit: PermitRequest): Promise<Result<PermitResponse, Failure>>
  /**
   * Asks for an allotment of a client account; it is not retried.
   * @param request - the account, and what this host has admitted
   * @returns the allotment, or a failure
   */
  acquireAllotment (request: AllotmentRequest): Promise<Result<AllotmentResponse, Failure>>
  /**
   * Sends one long poll of an executor; it is not retried.
   * @param poll - the runs of the executor
   * @returns the runs to start and to stop, or a failure
   */
  pollRuns (poll: RunPoll): Promise<Result<RunUpdate, Failure>>
  /**
   * Sends reports of an executor once; they are not retried.
   * @param reports - the reports
   * @returns nothing once the leader has recorded them, or a failure
   */
  reportRuns (reports: RunReports): Promise<Result<void, Failure>>
  /**
   * Forwards the heartbeat of a backend server.
   * @param heartbeat - the heartbeat
   * @param timeoutMs - timeout including all attempts, in milliseconds
   * @returns whether it was newer than the last one known, or the failure of the last attempt
   */
  forwardHeartbeat (heartbeat: Heartbeat, timeoutMs: number): Promise<Result<boolean, Failure>>
  /**
   * Reports that a backend server is leaving.
   * @param id - id of the backend server
   * @param findServer - returns the server as this host knows it, before each attempt: the host may receive the registered start meanwhile
   * @param timeoutMs - timeout including all attempts, in milliseconds
   * @param disconnected - aborts when the server has closed the connection of its call; then no further attempt is made
   * @returns true once all hosts have confirmed it, or the failure of the last attempt
   */
  withdraw (id: string, findServer: () => BackendServerRecord | undefined, timeoutMs: number, disconnected: AbortSignal): Promise<Result<boolean, Failure>>
}

/** Where queries are sent. */
export const ReadTarget = {
  Leader: 'leader',
  /** The first control host of the list that responds; the list is ordered by distance. */
  Nearest: 'nearest'
} as const
export type ReadTarget = typeof ReadTarget[keyof typeof ReadTarget]

/** Dependencies and settings of the control client. */
export interface ControlClientInputs {
  /** Internal addresses of the control hosts; may change while the process runs. */
  readonly controlHosts: readonly string[] | (() => readonly string[])
  /** Where queries are sent; the leader by default. */
  readonly readTarget?: ReadTarget
  readonly clients: InternalClients
  readonly clock: Clock
  readonly random: Random
  readonly metrics: Metrics
  readonly signal: AbortSignal
}

/**
 * Creates the client of the control hosts, for entry hosts and for fleet hosts.
 * @param inputs - dependencies and settings of the client
 * @returns the client
 */
export function createControlClient (inputs: ControlClientInputs): ControlClient & FleetClient {
  const { controlHosts, clients, clock, random, metrics, signal } = inputs
  const listHosts = typeof controlHosts === 'function' ? controlHosts : () => controlHosts
  let leader = listHosts()[0] ?? ''
  let tablesTimeoutMs = initialTablesTimeoutMs
  const backoffs = createControlHostBackoffs(clock)

  // Counts the failure, starts the backoff of a host that did not respond or refused the connection, and selects another host
  // as the leader if the call went to the current one. Calls run concurrently: the first failure at an address switches the
  // leader for all of them; failures of the other calls at the same address must not skip the next host.
  function handleCallFailure (address: string, failure: Failure, sentAt: number): void {
    metrics.count(Counter.ControlCalls, failure.reason)
    if (isUnresponsive(failure)) backoffs.start(address, sentAt)
    if (address !== leader || isLeaderKept(failure)) return
    if (failure.alternative !== undefined) backoffs.recordNamedLeader(failure.alternative, address, listHosts())
    if (failure.alternative !== undefined && failure.alternative !== leader && !backoffs.has(failure.alternative)) {
      leader = failure.alternative
      return
    }
    const hosts = listHosts()
    const position = hosts.indexOf(leader)
    for (let step = 1; step <= hosts.length; step++) {
      const next = hosts[(position + step) % hosts.length] ?? leader
      leader = next
      if (!backoffs.has(next)) return
    }
  }

  function isUnresponsive ({ reason }: Failure): boolean {
    return reason === FailureReason.Timeout || reason === FailureReason.Refused
  }

  // The leader responds: other hosts have not confirmed a change yet, or it takes no further command now. Or it is late with one call only.
  function isLeaderKept (failure: Failure): boolean {
    return failure.reason === FailureReason.Unconfirmed || failure.reason === FailureReason.Late || isRejectedByLeader(failure)
  }

  async function callOnce<Value> (call: (address: string) => PromiseLike<Result<Value, Failure>>): Promise<Result<Value, Failure>> {
    const address = leader
    const sentAt = clock.now()
    const result = await call(address)
    if (result.isErr()) handleCallFailure(address, result.error, sentAt)
    return result
  }

  async function retry<Value> (timeoutMs: number, step: Step, call: (address: string, remainingMs: number) => PromiseLike<Result<Value, Failure>>, isFinal = (_failure: Failure): boolean => false): Promise<Result<Value, Failure>> {
    const deadline = clock.now() + timeoutMs
    let failure: Failure | undefined
    while (clock.now() < deadline && !signal.aborted) {
      const result = await callOnce(address => call(address, deadline - clock.now()))
      if (result.isOk()) return result
      failure = result.error
      if (isFinal(failure)) return result
      await clock.sleep(random.next() * maxRetryDelayMs, signal)
    }
    return err(failure ?? createFailure(FailureReason.Timeout, { step }, 'no time left for the call'))
  }

  function callRead (address: string, query: Query, timeoutMs: number): PromiseLike<Result<QueryResponse, Failure>> {
    const timeLimitMs = timeoutMs + getLongPollMs(query)
    return clients.callReply<QueryResponse>(address, selectQueryClass(query), Step.Read, timeLimitMs, (client, abort) =>
      client.control.read.mutate(query, { signal: abort, context: createTimeLimitContext(timeLimitMs) }))
  }

  // Only the first attempt waits for further results.
  async function readNearest (query: Query, timeoutMs: number): Promise<Result<QueryResponse, Failure>> {
    const deadline = clock.now() + timeoutMs
    const responseMs = timeoutMs - getLongPollMs(query)
    let failure: Failure | undefined
    while (clock.now() < deadline && !signal.aborted) {
      const hosts = listHosts()
      const responsive = hosts.filter(address => !backoffs.has(address))
      for (const address of responsive.length > 0 ? responsive : hosts) {
        const sentAt = clock.now()
        const attempt = limitLongPoll(query, deadline - sentAt - responseMs)
        const remainingMs = deadline - sentAt - getLongPollMs(attempt)
        const attemptMs = Math.max(minReadAttemptMs, Math.min(maxReadAttemptMs, remainingMs - furtherReadAttempts * minReadAttemptMs))
        const result = await callRead(address, attempt, Math.min(attemptMs, remainingMs))
        if (result.isOk()) return result
        failure = result.error
        handleCallFailure(address, failure, sentAt)
        if (clock.now() >= deadline || signal.aborted) return err(failure)
      }
      await clock.sleep(random.next() * maxRetryDelayMs, signal)
    }
    return err(failure ?? createFailure(FailureReason.Timeout, { step: Step.Read }, 'no time left for the call'))
  }

  function callTables (address: string, request: TablesRequest, timeoutMs: number): PromiseLike<Result<TablesResponse, Failure>> {
    return clients.callReply<TablesResponse>(address, TrafficClass.Tables, Step.FetchTables, timeoutMs, (client, abort) =>
      client.fleet.tables.mutate(request, { signal: abort }))
  }

  return {
    async execute (command, timeoutMs = 10_000) {
      const isGatewayCommand = gatewayCommands.has(command.kind)
      // Sent again at once, a rejected command would add to the load of which the rejection is a sign.
      const isFinal = (failure: Failure): boolean => isGatewayCommand && isRejectedByLeader(failure)
      // Whether an earlier attempt may still be executed, and whether one was late.
      let isUndecided = false
      let wasLate = false
      const outcome = await retry(timeoutMs, Step.Execute, async (address, remainingMs) => {
        const maxAttemptMs = isGatewayCommand ? remainingMs : timeoutMs
        const attemptMs = isGatewayCommand && !wasLate ? Math.min(remainingMs, gatewayAttemptTimeoutMs) : maxAttemptMs
        const result = await clients.callReply<Outcome>(address, selectTrafficClass(command), Step.Execute, attemptMs, (client, abort) =>
          client.control.execute.mutate(command, { signal: abort }), maxAttemptMs)
        if (result.isErr() && !unexecutedReasons.has(result.error.reason)) isUndecided = true
        if (result.isErr() && result.error.reason === FailureReason.Late) wasLate = true
        return result
      }, isFinal)
      const isRefused = outcome.isErr() ? isRejectedByLeader(outcome.error) : outcome.value.kind === OutcomeKind.Limit
      if (!isUndecided || !isRefused) return outcome
      return err(createFailure(FailureReason.Unknown, { step: Step.Execute }, 'the command was refused, but an earlier attempt may still be executed'))
    },
    async read (query, timeoutMs = 5_000) {
      if (inputs.readTarget === ReadTarget.Nearest) return await readNearest(query, timeoutMs)
      return await retry(timeoutMs, Step.Read, address => callRead(address, query, callTimeoutMs))
    },
    watch: request => callOnce(address => clients.callReply<WatchResponse>(address, TrafficClass.Control, Step.Watch, longPollMs + callTimeoutMs, (client, abort) =>
      client.control.watch.mutate(request, { signal: abort }))),
    watchFleet: request => callOnce(address => clients.callReply<FleetUpdate>(address, TrafficClass.Control, Step.Watch, fleetLongPollMs + fleetResponseTimeoutMs, (client, abort) =>
      client.fleet.watch.mutate(request, { signal: abort }))),
    async fetchTables (request) {
      let failure: Failure | undefined
      const hosts = listHosts()
      const responsive = hosts.filter(address => !backoffs.has(address))
      for (const address of responsive.length > 0 ? responsive : hosts) {
        if (signal.aborted) break
        const sentAt = clock.now()
        const result = await callTables(address, request, tablesTimeoutMs)
        if (result.isOk()) {
          tablesTimeoutMs = initialTablesTimeoutMs
          return result
        }
        failure = result.error
        metrics.count(Counter.ControlCalls, failure.reason)
        if (isUnresponsive(failure)) backoffs.start(address, sentAt)
      }
      tablesTimeoutMs = Math.min(2 * tablesTimeoutMs, maxTablesTimeoutMs)
      return err(failure ?? createFailure(FailureReason.Timeout, { step: Step.FetchTables }, 'no control host is known'))
    },
    async confirmTables (version, timeoutMs) {
      const deadline = clock.now() + timeoutMs
      while (true) {
        // The leader responds within the time to wait, so that the call does not time out at a leader that responds.
        const waitMs = Math.max(0, deadline - clock.now())
        const result = await callOnce(address => clients.callReply<void>(address, TrafficClass.Control, Step.Publish, waitMs + fleetResponseTimeoutMs, (client, abort) =>
          client.fleet.confirmTables.mutate({ version, waitMs }, { signal: abort })))
        if (result.isOk() || result.error.reason !== FailureReason.NotLeader || clock.now() >= deadline) return result
        await clock.sleep(random.next() * maxRetryDelayMs, signal)
      }
    },
    reportLoad: async report => await clients.callReply<LoadTotals>(leader, TrafficClass.Live, Step.Report, fleetResponseTimeoutMs, (client, abort) =>
      client.fleet.report.mutate(report, { signal: abort })),
    reportCrash: async report => await clients.callReply<ServerCrashVerdict>(leader, TrafficClass.Live, Step.Report, crashReportTimeoutMs, (client, abort) =>
      client.fleet.reportCrash.mutate(report, { signal: abort })),
    acquireTrial: async trial => await clients.callReply<boolean>(leader, TrafficClass.Live, Step.Report, permissionTimeoutMs, (client, abort) =>
      client.fleet.acquireTrial.mutate(trial, { signal: abort })),
    reportLimits: async report => await clients.callReply<void>(leader, TrafficClass.Live, Step.Report, fleetResponseTimeoutMs, (client, abort) =>
      client.fleet.reportLimits.mutate(report, { signal: abort })),
    acquirePermit: async permit => await clients.callReply<PermitResponse>(leader, TrafficClass.Live, Step.Report, permissionTimeoutMs, (client, abort) =>
      client.fleet.acquirePermit.mutate(permit, { signal: abort })),
    acquireAllotment: async request => await clients.callReply<AllotmentResponse>(leader, TrafficClass.Live, Step.Report, permissionTimeoutMs, (client, abort) =>
      client.fleet.acquireAllotment.mutate(request, { signal: abort })),
    pollRuns: poll => callOnce(address => clients.callReply<RunUpdate>(address, TrafficClass.Batch, Step.Dispatch, fleetLongPollMs + callTimeoutMs, (client, abort) =>
      client.fleet.pollRuns.mutate(poll, { signal: abort }))),
    reportRuns: reports => callOnce(address => clients.callReply<void>(address, TrafficClass.Batch, Step.Report, callTimeoutMs, (client, abort) =>
      client.fleet.reportRuns.mutate(reports, { signal: abort }))),
    forwardHeartbeat: (heartbeat, timeoutMs) => retry(timeoutMs, Step.Heartbeat, address =>
      clients.callReply<boolean>(address, TrafficClass.Control, Step.Heartbeat, heartbeat.leaving ? leaveConfirmationTimeoutMs + fleetResponseTimeoutMs : fleetResponseTimeoutMs, (client, abort) =>
        client.fleet.heartbeat.mutate(heartbeat, { signal: abort }))),
    withdraw: (id, findServer, timeoutMs, disconnected) => retry(timeoutMs, Step.Heartbeat, async address => {
      if (disconnected.aborted) return err(createFailure(FailureReason.Aborted, { step: Step.Heartbeat }, 'the backend server has closed the connection'))
      return await clients.callReply<boolean>(address, TrafficClass.Control, Step.Heartbeat, leaveConfirmationTimeoutMs + fleetResponseTimeoutMs, (client, abort) =>
        client.fleet.withdraw.mutate({ id, namesStart: true, server: findServer() }, { signal: abort }))
    }, () => disconnected.aborted)
  }
}
