/**
 * A control host: a replica of the log with the state machine, and the tasks of the leader: sessions of entry hosts,
 * cancellation, and expiry of holders and uploads.
 * @module
 */
import { err, ok, type Result, type ResultAsync } from 'neverthrow'
import { assertNever } from '../program/assert.ts'
import type { Clock } from '../program/clock.ts'
import { type Command, CommandKind, type CommandOf, type Holder, type Outcome, OutcomeKind } from './commands.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { findOutcomeWithoutChange } from './publications.ts'
import { answerQuery, applyCommand, type ControlState, createControlState } from './controlState.ts'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { type Query, QueryKind, type QueryOf, type QueryResponse } from './queries.ts'
import { countItemBytes, hasItemSpace, hasOutputSpace } from '../jobs/outputSpace.ts'
import { canAccessJob } from '../jobs/submission.ts'
import { findOutcomeOfRepetition, isSubmissionClosed } from '../jobs/submissions.ts'
import { createIdleUploads } from '../jobs/idleUploads.ts'
import { createIdleClaims, type IdleClaims } from '../jobs/idleClaims.ts'
import { createReplica, type Replica, type ReplicaInputs, ReplicaRole } from '../log/replica.ts'
import { createSessions, type Sessions, sessionTimeoutMs } from './sessions.ts'
import { exportState, importState } from './stateSnapshot.ts'
import { createUploadAdmission, type UploadLimits } from './uploadAdmission.ts'
import { longPollMs, type WatchRequest, type WatchResponse } from './watchMessages.ts'
import { runBootstrap } from '../log/bootstrap.ts'

/** Interval at which the leader checks for expired sessions and uploads, in milliseconds. */
const sweepIntervalMs = 500

/**
 * How long a cancellation waits for confirmation by the entry hosts, in milliseconds; longer than the session timeout, so
 * that the session of an unreachable entry host expires first.
 */
const cancelTimeoutMs = sessionTimeoutMs + 2_000

/** Commands that can make items available to a claim. */
const itemProducingCommands: ReadonlySet<CommandKind> = new Set([
  CommandKind.Apply, CommandKind.Seal, CommandKind.Requeue, CommandKind.ExpireHolder, CommandKind.AcquireLease, CommandKind.ReleaseLease
])

/** Dependencies and settings of a control host. */
export interface ControlHostInputs extends Omit<ReplicaInputs, 'apply' | 'exportChunks' | 'importChunks'>, UploadLimits {
  /** Internal addresses of the control hosts to bootstrap the group with or to join. */
  readonly controlHosts: readonly string[]
  /** Whether this host may create the first membership; default true. */
  readonly canBootstrap?: boolean
  /** Whether the results of jobs are kept compressed, also in snapshots; false by default. */
  readonly compressesResults?: boolean
  /** Called with each command after it was applied. */
  readonly applied?: (command: Command) => void
}

/** Longest time for which a submission waits until a new leader has applied the entries of earlier terms, in milliseconds. */
const termStartTimeoutMs = 500

/** A command of a gateway or an operator that has the same outcome when it is repeated. */
type RepeatableCommand = CommandOf<'publish'> | CommandOf<'submit'> | CommandOf<'end submission'>

/** Conditions that are notified when commands are applied. */
interface StateConditions {
  /** Notified when a response to a poll may have changed: configuration, cancelled jobs, entry hosts or leadership. */
  readonly stateChanged: Condition
  /** Notified when items of a job submitted to a gateway have results, or such a job has ended. */
  readonly finished: Condition
}

/** A control host. */
export interface ControlHost {
  readonly replica: Replica
  readonly state: ControlState
  readonly sessions: Sessions
  /**
   * Executes a command on the leader.
   * @param command - the command; its `time` is overwritten with the leader's wall-clock time
   * @returns its outcome, or a failure
   */
  execute (command: Command): Promise<Result<Outcome, Failure>>
  /**
   * Answers a query once the leader has confirmed it (linearizable read); followers answer, too. A query for the results of a job submitted to
   * a gateway is a long poll and first waits for further results.
   * @param query - the query
   * @returns the response, or a failure
   */
  read (query: Query): Promise<Result<QueryResponse, Failure>>
  /**
   * Confirms a query as `read` does, and leaves the answer to the caller: pages of results take memory, and many may wait to be sent.
   * @param query - the query
   * @returns a function that answers by the state at the time of its call, or a failure
   */
  prepareRead (query: Query): Promise<Result<() => QueryResponse, Failure>>
  /**
   * Serves a long poll: responds immediately if there are updates, otherwise after at most `longPollMs`.
   * @param request - the poll
   * @returns the response, or a failure
   */
  watch (request: WatchRequest): Promise<Result<WatchResponse, Failure>>
}

/**
 * Starts a control host.
 * @param inputs - dependencies and settings of the control host
 * @returns the control host, or a failure when its stored data cannot be read
 */
export function createControlHost (inputs: ControlHostInputs): ResultAsync<ControlHost, Failure> {
  const state = createControlState(inputs.compressesResults)
  const stateChanged = createCondition()
  const finished = createCondition()
  const idleClaims = createIdleClaims(state, inputs.clock)
  return createReplica({
    ...inputs,
    apply (command) {
      const outcome = applyCommand(state, command)
      if (command.kind === CommandKind.Apply || command.kind === CommandKind.CancelJob) stateChanged.notify()
      if (itemProducingCommands.has(command.kind)) idleClaims.itemsAvailable.notify()
      if (command.kind === CommandKind.FinishItems || command.kind === CommandKind.EndSubmission) finished.notify()
      inputs.applied?.(command)
      return outcome
    },
    exportChunks: () => exportState(state),
    importChunks (parts) {
      Object.assign(state, importState(parts, inputs.compressesResults))
      stateChanged.notify()
    }
  }).map(replica => startControlHost(inputs, replica, state, { stateChanged, finished }, idleClaims))
}

function startControlHost (inputs: ControlHostInputs, replica: Replica, state: ControlState, { stateChanged, finished }: StateConditions, idleClaims: IdleClaims): ControlHost {
  const { clock, lifecycle } = inputs
  const sessions = createSessions()
  const idleUploads = createIdleUploads()
  const leadership: Leadership = { term: -1, since: 0 }
  // Separate from `stateChanged`: every poll notifies this, and waking all held polls for each poll would take
  // quadratic time in the number of hosts.
  const pollReceived = createCondition()
  // Proposals that are not decided yet, by what identifies their repetitions.
  const undecidedCommands = new Map<string, ResultAsync<Outcome, Failure>>()
  // Items of the submissions among them.
  let undecidedItems = 0
  let undecidedItemBytes = 0
  const uploadAdmission = createUploadAdmission({ ...inputs, replica, jobs: () => state.jobs, idleUploads })

  async function execute (command: Command): Promise<Result<Outcome, Failure>> {
    if (replica.state.role !== ReplicaRole.Leader) return err(createNotLeaderFailure(replica, Step.Execute))
    resetLeaderStateOnNewTerm()
    if (command.kind === CommandKind.AcquireLease) {
      const lease = state.leases.get(command.backendServer)
      const isTaken = lease?.holder !== undefined && lease.holder !== command.holder && isHolderAlive(lease.holder)
      if (isTaken) return ok({ kind: OutcomeKind.Lease, holder: lease.holder, number: lease.number, granted: false })
    }
    if (command.kind === CommandKind.Claim) {
      const emptyOutcome = await idleClaims.waitForItems(command, () => replica.state.role === ReplicaRole.Leader, lifecycle.signal)
      if (emptyOutcome !== undefined) return ok(emptyOutcome)
    }
    if (isRepeatable(command)) {
      // An earlier term may have accepted this job, or others whose results need space.
      if (command.kind === CommandKind.Submit && !await waitForTermStart()) return err(createNotLeaderFailure(replica, Step.Execute))
      // Callers repeat what takes long. A repetition must not add an entry: the entries of submissions and publications are large.
      const repeated = findOutcomeWithoutEntry(state, command)
      // What has been applied to a job stays true. The tables in force may have changed under a later leader.
      if (repeated !== undefined) return command.kind === CommandKind.Publish ? (await replica.confirmRead()).map(() => repeated) : ok(repeated)
      return await proposeOnce(command)
    }
    if (command.kind === CommandKind.OpenUpload) return await uploadAdmission.open(command)
    if (command.kind === CommandKind.AppendItems) return await uploadAdmission.append(command)
    const outcome = await replica.propose(addTimestamp(command, clock))
    if (outcome.isErr() || command.kind !== CommandKind.CancelJob) return outcome
    const confirmation = await waitUntilJobStopped(command.job, replica.state.appliedIndex)
    return confirmation.andThen(() => outcome)
  }

  async function proposeOnce (command: RepeatableCommand): Promise<Result<Outcome, Failure>> {
    const key = identifyRepetitions(command)
    const pending = undecidedCommands.get(key)
    if (pending !== undefined) return await pending
    // An accepted item must be run and its result kept, so a job is accepted only with space for its results.
    const newItems = command.kind === CommandKind.Submit ? command.submission.items.length : 0
    const newItemBytes = command.kind === CommandKind.Submit ? countItemBytes(command.submission.items) : 0
    if (newItems > 0 && !hasOutputSpace(state.submissions, undecidedItems + newItems)) return err(createNoOutputSpaceFailure(replica))
    if (newItems > 0 && !hasItemSpace(state.submissions, undecidedItemBytes + newItemBytes)) return err(createNoOutputSpaceFailure(replica))
    undecidedItems += newItems
    undecidedItemBytes += newItemBytes
    const proposed = replica.propose(addTimestamp(command, clock))
    undecidedCommands.set(key, proposed)
    const outcome = await proposed
    undecidedCommands.delete(key)
    undecidedItems -= newItems
    undecidedItemBytes -= newItemBytes
    return outcome
  }

  // Returns whether this replica leads and has applied all entries of earlier terms.
  async function waitForTermStart (): Promise<boolean> {
    const deadline = clock.now() + termStartTimeoutMs
    while (replica.state.role === ReplicaRole.Leader && replica.state.appliedIndex < replica.state.termStartIndex) {
      const remainingMs = deadline - clock.now()
      if (remainingMs <= 0 || lifecycle.signal.aborted) return false
      await replica.state.changed.wait(remainingMs, lifecycle.signal)
    }
    return replica.state.role === ReplicaRole.Leader
  }

  // A new leader has no record of the polls to its predecessor, so every holder counts as alive for one full session timeout.
  function isHolderAlive (holder: Holder): boolean {
    if (sessions.find(holder) !== undefined) return true
    return clock.now() - leadership.since < sessionTimeoutMs
  }

  // Leadership is confirmed at the end: a deposed leader could consider hosts expired that poll its successor.
  async function waitUntilJobStopped (job: string, index: number): Promise<Result<unknown, Failure>> {
    const deadline = clock.now() + cancelTimeoutMs
    while (clock.now() < deadline && !lifecycle.signal.aborted && replica.state.role === ReplicaRole.Leader) {
      const isConfirmationPending = listHolders(job).some(holder => isHolderAlive(holder) && (sessions.find(holder)?.stoppedIndex ?? 0) < index)
      if (!isConfirmationPending) return await replica.confirmRead()
      await pollReceived.wait(Math.min(sweepIntervalMs, deadline - clock.now()), lifecycle.signal)
    }
    const origin = { step: Step.Execute, peer: replica.state.address }
    return err(createFailure(FailureReason.Timeout, origin, 'the job is cancelled, but not every entry host has confirmed that it stopped'))
  }

  function listHolders (job: string): Holder[] {
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
    return (await prepareRead(query)).map(answer => answer())
  }

  async function prepareRead (query: Query): Promise<Result<() => QueryResponse, Failure>> {
    if (query.kind === QueryKind.SubmissionResults && query.waitMs > 0) await waitForResults(query)
    const confirmed = await replica.confirmLocalRead()
    return confirmed.map(() => () => answerQuery(state, query))
  }

  async function waitForResults ({ job, after, waitMs, caller }: QueryOf<typeof QueryKind.SubmissionResults>): Promise<void> {
    const deadline = clock.now() + Math.min(waitMs, longPollMs)
    while (clock.now() < deadline && !lifecycle.signal.aborted) {
      const record = state.submissions.jobs.get(job)
      if (record === undefined || record.results.length > after || isSubmissionClosed(record) || !canAccessJob(record.submission, caller)) return
      await finished.wait(deadline - clock.now(), lifecycle.signal)
    }
  }

  async function watch (request: WatchRequest): Promise<Result<WatchResponse, Failure>> {
    if (replica.state.role !== ReplicaRole.Leader) return err(createNotLeaderFailure(replica, Step.Watch))
    resetLeaderStateOnNewTerm()
    if (sessions.recordPoll(request.entryHost, request.stoppedIndex, clock.now())) stateChanged.notify()
    pollReceived.notify()
    const deadline = clock.now() + (request.immediate ? 0 : longPollMs)
    while (!hasUpdates(request) && clock.now() < deadline && replica.state.role === ReplicaRole.Leader) {
      await stateChanged.wait(deadline - clock.now(), lifecycle.signal)
      if (lifecycle.signal.aborted) break
    }
    const confirmed = await replica.confirmRead()
    return confirmed.map(appliedIndex => createResponse(request, appliedIndex))
  }

  function hasUpdates (request: WatchRequest): boolean {
    if (state.configuration.version > request.version) return true
    if (computeDirectoryRevision() !== request.directoryRevision) return true
    return listCancelledJobs(request.entryHost.holder).some(job => !request.knownCancelled.includes(job))
  }

  function createResponse (request: WatchRequest, appliedIndex: number): WatchResponse {
    const { version } = state.configuration
    const response = { version, directoryRevision: computeDirectoryRevision(), appliedIndex, cancelledJobs: listCancelledJobs(request.entryHost.holder) }
    return {
      ...response,
      ...(version > request.version ? { configuration: state.configuration } : {}),
      ...(response.directoryRevision === request.directoryRevision ? {} : { entryHosts: sessions.list() })
    }
  }

  function listCancelledJobs (holder: Holder): string[] {
    const jobs = new Set<string>()
    for (const reference of state.jobs.held.get(holder)?.values() ?? []) {
      if (state.jobs.jobs.get(reference.job)?.cancelled === true) jobs.add(reference.job)
    }
    return [...jobs]
  }

  function computeDirectoryRevision (): string {
    return `${replica.state.identity}/${replica.state.term}/${sessions.revision}`
  }

  // Called only while this replica leads. In the first call of a term it records the start of the leadership, from which
  // `isHolderAlive` counts, and discards the sessions of an earlier term, since their polls went to another leader meanwhile.
  function resetLeaderStateOnNewTerm (): void {
    if (leadership.term === replica.state.term) return
    leadership.term = replica.state.term
    leadership.since = clock.now()
    sessions.clear()
  }

  async function runSweeps (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(sweepIntervalMs, signal)
      if (signal.aborted || replica.state.role !== ReplicaRole.Leader) continue
      resetLeaderStateOnNewTerm()
      if (sessions.expire(clock.now())) stateChanged.notify()
      for (const holder of listExpiredHolders()) await replica.propose({ kind: CommandKind.ExpireHolder, holder })
      for (const { id, nextSequence } of idleUploads.find(state.jobs.uploads.values(), clock.now())) {
        await replica.propose({ kind: CommandKind.DiscardUpload, upload: id, sequence: nextSequence })
      }
    }
  }

  function listExpiredHolders (): Holder[] {
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
      if (replica.state.role === ReplicaRole.Leader) resetLeaderStateOnNewTerm()
      else stateChanged.notify()
    }
  })
  return { replica, state, sessions, execute, read, prepareRead, watch }
}

interface Leadership {
  term: number
  /** Monotonic time at which this replica noticed that it leads, in milliseconds. */
  since: number
}

function createNotLeaderFailure (replica: Replica, step: Step): Failure {
  const { address, leaderAddress } = replica.state
  return createFailure(FailureReason.NotLeader, { step, peer: address, alternative: leaderAddress }, 'this control host is not the leader')
}

function createNoOutputSpaceFailure (replica: Replica): Failure {
  return createFailure(FailureReason.Rejected, { step: Step.Propose, peer: replica.state.address }, 'there is no space for the items of the job or for their results')
}

function isRepeatable (command: Command): command is RepeatableCommand {
  return command.kind === CommandKind.Publish || command.kind === CommandKind.Submit || command.kind === CommandKind.EndSubmission
}

function findOutcomeWithoutEntry (state: ControlState, command: RepeatableCommand): Outcome | undefined {
  return command.kind === CommandKind.Publish ? findOutcomeWithoutChange(state, command) : findOutcomeOfRepetition(state.submissions, command)
}

// Ids and names of accounts may contain any separator.
function identifyRepetitions (command: RepeatableCommand): string {
  switch (command.kind) {
    case CommandKind.Publish: return `${command.kind} ${command.publication.tables.version} ${command.publication.digest}`
    case CommandKind.Submit: return JSON.stringify([command.kind, command.submission.id, command.submission.account])
    case CommandKind.EndSubmission: return JSON.stringify([command.kind, command.job, command.caller])
    default: return assertNever(command)
  }
}

function addTimestamp (command: Command, clock: Clock): Command {
  return 'time' in command ? { ...command, time: clock.wallTime() } : command
}
