/**
 * A control host: a replica of the log with the durable state, and what its leader does besides.
 * @module
 */
import { err, ok, type Result, type ResultAsync } from 'neverthrow'
import type { Clock } from '../program/clock.ts'
import { type Command, CommandKind, type Holder, type Outcome, OutcomeKind } from './commands.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { answerQuery, applyCommand, type ControlState, createControlState } from './controlState.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { type QueryResponse, type Query, QueryKind } from './queries.ts'
import { isSubmissionClosed } from '../jobs/submissions.ts'
import { createIdleUploads } from '../jobs/idleUploads.ts'
import { createIdleClaims, type IdleClaims } from '../jobs/idleClaims.ts'
import { createReplica, type Replica, type ReplicaInputs, ReplicaRole } from '../log/replica.ts'
import { createSessions, sessionTimeoutMs, type Sessions } from './sessions.ts'
import { exportState, importState } from './stateSnapshot.ts'
import { longPollMs, type WatchResponse, type WatchRequest } from './watchMessages.ts'
import { runBootstrap } from '../log/bootstrap.ts'

/** How often the leader looks for expired sessions and uploads, in milliseconds. */
const sweepMs = 500

/** How long the answer to a cancellation may wait for the entry hosts, in milliseconds. */
const cancelLimitMs = sessionTimeoutMs + 2_000

/** Commands after which items may wait that did not before. */
const mayBringWork: ReadonlySet<CommandKind> = new Set([
  CommandKind.Apply, CommandKind.Seal, CommandKind.Requeue, CommandKind.ExpireHolder, CommandKind.AcquireLease, CommandKind.ReleaseLease
])

/** What a control host needs. */
export interface ControlHostInputs extends Omit<ReplicaInputs, 'apply' | 'exportParts' | 'importParts'> {
  /** Internal addresses of control hosts to form the group with, or to join. */
  readonly controlHosts: readonly string[]
  /** Whether this host may take part in forming the first group; true when it is not given. */
  readonly canBootstrap?: boolean
  /** Told of each command after it was applied. */
  readonly applied?: (command: Command) => void
}

/** Conditions that the application of commands notifies. */
interface StateConditions {
  readonly news: Condition
  /** Notified when items of a gateway's job got results. */
  readonly finished: Condition
}

/** A control host. */
export interface ControlHost {
  readonly replica: Replica
  readonly state: ControlState
  readonly sessions: Sessions
  /**
   * Executes a command on the leader.
   * @param command - the command; its time is set here
   * @returns its outcome, or a failure
   */
  execute (command: Command): Promise<Result<Outcome, Failure>>
  /**
   * Answers a query after the leadership was confirmed.
   * @param query - the query
   * @returns the answer, or a failure
   */
  read (query: Query): Promise<Result<QueryResponse, Failure>>
  /**
   * Answers a poll, at once when there is news and after a while when there is none.
   * @param request - the poll
   * @returns the answer, or a failure
   */
  watch (request: WatchRequest): Promise<Result<WatchResponse, Failure>>
}

/**
 * Starts a control host.
 * @param inputs - what it needs
 * @returns the control host, or a failure when its data can't be used
 */
export function createControlHost (inputs: ControlHostInputs): ResultAsync<ControlHost, Failure> {
  const state = createControlState()
  const news = createCondition()
  const finished = createCondition()
  const idleClaims = createIdleClaims(state, inputs.clock)
  return createReplica({
    ...inputs,
    apply (command) {
      const outcome = applyCommand(state, command)
      if (command.kind === CommandKind.Apply || command.kind === CommandKind.CancelJob) news.notify()
      if (mayBringWork.has(command.kind)) idleClaims.workArrived.notify()
      if (command.kind === CommandKind.FinishItems || command.kind === CommandKind.EndSubmission) finished.notify()
      inputs.applied?.(command)
      return outcome
    },
    exportParts: () => exportState(state),
    importParts (parts) {
      Object.assign(state, importState(parts))
      news.notify()
    }
  }).map(replica => startControlHost(inputs, replica, state, { news, finished }, idleClaims))
}

function startControlHost (inputs: ControlHostInputs, replica: Replica, state: ControlState, { news, finished }: StateConditions, idleClaims: IdleClaims): ControlHost {
  const { clock, lifecycle } = inputs
  const sessions = createSessions()
  const quietUploads = createIdleUploads()
  const leadership: Leadership = { term: -1, since: 0 }
  // Apart from `news`: every poll reports here, and waking all polls for each of them would cost the square of the hosts.
  const stopped = createCondition()

  async function execute (command: Command): Promise<Result<Outcome, Failure>> {
    if (replica.state.role !== ReplicaRole.Leader) return err(notLeader(replica, Step.Execute))
    observeLeadership()
    if (command.kind === CommandKind.AcquireLease) {
      const lease = state.leases.get(command.backendServer)
      const taken = lease?.holder !== undefined && lease.holder !== command.holder && isHolderAlive(lease.holder)
      if (taken) return ok({ kind: OutcomeKind.Lease, holder: lease.holder, number: lease.number, granted: false })
    }
    if (command.kind === CommandKind.Claim) {
      const idle = await idleClaims.hold(command, () => replica.state.role === ReplicaRole.Leader, lifecycle.signal)
      if (idle !== undefined) return ok(idle)
    }
    const outcome = await replica.propose(stamp(command, clock))
    if (outcome.isErr() || command.kind !== CommandKind.CancelJob) return outcome
    const stop = await waitUntilStopped(command.job, replica.state.appliedIndex)
    return stop.andThen(() => outcome)
  }

  // A new leader gives every holder a full session from the start of its term, since it has not seen earlier polls.
  function isHolderAlive (holder: Holder): boolean {
    if (sessions.find(holder) !== undefined) return true
    return clock.now() - leadership.since < sessionTimeoutMs
  }

  // The leadership is confirmed at the end: a deposed leader may take hosts that poll its successor for expired.
  async function waitUntilStopped (job: string, index: number): Promise<Result<unknown, Failure>> {
    const deadline = clock.now() + cancelLimitMs
    while (clock.now() < deadline && !lifecycle.signal.aborted && replica.state.role === ReplicaRole.Leader) {
      const isWaiting = holdersOf(job).some(holder => isHolderAlive(holder) && (sessions.find(holder)?.stoppedIndex ?? 0) < index)
      if (!isWaiting) return await replica.confirmRead()
      await stopped.wait(Math.min(sweepMs, deadline - clock.now()), lifecycle.signal)
    }
    const origin = { step: Step.Execute, peer: replica.state.address }
    return err(createFailure(FailureReason.Timeout, origin, 'the job is cancelled, but not every entry host has confirmed that it stopped'))
  }

  function holdersOf (job: string): Holder[] {
    const holders: Holder[] = []
    for (const [holder, held] of state.jobs.held) {
      for (const reference of held.values()) {
        if (reference.job !== job) continue
        holders.push(holder)
        break
      }
    }
    return holders
  }

  async function read (query: Query): Promise<Result<QueryResponse, Failure>> {
    if (query.kind === QueryKind.SubmissionResults && query.waitMs > 0) await waitForResults(query.job, query.after, query.waitMs)
    const confirmed = await replica.confirmRead()
    return confirmed.map(() => answerQuery(state, query))
  }

  async function waitForResults (job: string, after: number, waitMs: number): Promise<void> {
    const deadline = clock.now() + Math.min(waitMs, longPollMs)
    while (clock.now() < deadline && !lifecycle.signal.aborted && replica.state.role === ReplicaRole.Leader) {
      const record = state.submissions.jobs.get(job)
      if (record === undefined || record.results.length > after || isSubmissionClosed(record)) return
      await finished.wait(deadline - clock.now(), lifecycle.signal)
    }
  }

  async function watch (request: WatchRequest): Promise<Result<WatchResponse, Failure>> {
    if (replica.state.role !== ReplicaRole.Leader) return err(notLeader(replica, Step.Watch))
    observeLeadership()
    if (sessions.recordPoll(request.entryHost, request.stoppedIndex, clock.now())) news.notify()
    stopped.notify()
    const deadline = clock.now() + (request.immediate ? 0 : longPollMs)
    while (!hasNews(request) && clock.now() < deadline && replica.state.role === ReplicaRole.Leader) {
      await news.wait(deadline - clock.now(), lifecycle.signal)
      if (lifecycle.signal.aborted) break
    }
    const confirmed = await replica.confirmRead()
    return confirmed.map(appliedIndex => createAnswer(request, appliedIndex))
  }

  function hasNews (request: WatchRequest): boolean {
    if (state.configuration.version > request.version) return true
    if (directoryRevision() !== request.directoryRevision) return true
    return cancelledJobsOf(request.entryHost.holder).some(job => !request.knownCancelled.includes(job))
  }

  function createAnswer (request: WatchRequest, appliedIndex: number): WatchResponse {
    const { version } = state.configuration
    const answer = { version, directoryRevision: directoryRevision(), appliedIndex, cancelledJobs: cancelledJobsOf(request.entryHost.holder) }
    return {
      ...answer,
      ...(version > request.version ? { configuration: state.configuration } : {}),
      ...(answer.directoryRevision === request.directoryRevision ? {} : { entryHosts: sessions.list() })
    }
  }

  function cancelledJobsOf (holder: Holder): string[] {
    const jobs = new Set<string>()
    for (const reference of state.jobs.held.get(holder)?.values() ?? []) {
      if (state.jobs.jobs.get(reference.job)?.cancelled === true) jobs.add(reference.job)
    }
    return [...jobs]
  }

  function directoryRevision (): string {
    return `${replica.state.identity}/${replica.state.term}/${sessions.revision}`
  }

  function observeLeadership (): void {
    if (leadership.term === replica.state.term) return
    leadership.term = replica.state.term
    leadership.since = clock.now()
    sessions.clear()
  }

  async function runSweeps (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(sweepMs, signal)
      if (signal.aborted || replica.state.role !== ReplicaRole.Leader) continue
      observeLeadership()
      if (sessions.expire(clock.now())) news.notify()
      for (const holder of deadHolders()) await replica.propose({ kind: CommandKind.ExpireHolder, holder })
      for (const { id, nextSequence } of quietUploads.find(state.jobs.uploads.values(), clock.now())) {
        await replica.propose({ kind: CommandKind.DiscardUpload, upload: id, sequence: nextSequence })
      }
    }
  }

  function deadHolders (): Holder[] {
    const holders = new Set<Holder>(state.jobs.held.keys())
    for (const lease of state.leases.values()) {
      if (lease.holder !== undefined) holders.add(lease.holder)
    }
    return [...holders].filter(holder => !isHolderAlive(holder))
  }

  lifecycle.run(runSweeps)
  lifecycle.run(signal => runBootstrap({ ...inputs, replica, signal }))
  lifecycle.run(async signal => {
    while (!signal.aborted) {
      await replica.state.changed.wait(longPollMs, signal)
      if (replica.state.role === ReplicaRole.Leader) observeLeadership()
      else news.notify()
    }
  })
  return { replica, state, sessions, execute, read, watch }
}

interface Leadership {
  term: number
  /** Monotonic time at which this replica noticed that it leads, in milliseconds. */
  since: number
}

function notLeader (replica: Replica, step: Step): Failure {
  const { address, leaderAddress } = replica.state
  return createFailure(FailureReason.NotLeader, { step, peer: address, alternative: leaderAddress }, 'this control host is not the leader')
}

function stamp (command: Command, clock: Clock): Command {
  return 'time' in command ? { ...command, time: clock.wallTime() } : command
}
