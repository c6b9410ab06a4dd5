/**
 * One replica of the replicated log: elections, replication, commit and confirmed reads.
 * @module
 */
import { err, ok, okAsync, type Result, ResultAsync } from 'neverthrow'
import { runReplicaPeer } from '../connection/replicaPeer.ts'
import { assert, assertNever } from './assert.ts'
import type { Clock } from './clock.ts'
import type { Command, Outcome } from './commands.ts'
import { type Condition, createCondition } from './condition.ts'
import { decideVote, electionMaxMs, electionMinMs, heartbeatMs, majorityOf, reachedByMajority, votersOf } from './election.ts'
import { createFailure, type Failure, FailureReason, Step } from './failure.ts'
import { handOver } from './handover.ts'
import type { Lifecycle } from './lifecycle.ts'
import { LogEvents } from './logEvents.ts'
import type { Logger } from './logger.ts'
import { Counter, Latency, type Metrics } from './metrics.ts'
import type { Random } from './random.ts'
import type { AppendAnswer, AppendRequest, Identification, Transport, VoteAnswer, VoteRequest } from './replicaMessages.ts'
import { type Entry, type Member, type Payload, PayloadKind, RecordKind, type Storage, type StoredRecord } from './storage.ts'

/** How long a proposal may take to commit, in milliseconds. */
const proposalLimitMs = 5_000

/** How long a read waits for the leadership to be confirmed, in milliseconds. */
const confirmLimitMs = 1_000

/** What a replica does at the moment. */
export const ReplicaRole = { Follower: 'follower', Candidate: 'candidate', Leader: 'leader' } as const
export type ReplicaRole = typeof ReplicaRole[keyof typeof ReplicaRole]

/** What a leader knows about another replica. */
export interface Progress {
  nextIndex: number
  matchIndex: number
  /** Monotonic time at which the last answered append was sent, in milliseconds. */
  acknowledgedAt: number
}

/** The state of a replica. Owned by `createReplica`; the peer tasks read it and report to it. */
export interface ReplicaState {
  readonly identity: string
  readonly address: string
  role: ReplicaRole
  term: number
  votedFor: string | undefined
  entries: Entry[]
  members: readonly Member[]
  commitIndex: number
  appliedIndex: number
  /** Last own entry that is synced, while leading. */
  syncedIndex: number
  leaderAddress: string | undefined
  /** Monotonic time at which a leader was last heard, in milliseconds. */
  heardAt: number
  /** Index of the first entry of the own term, while leading. */
  termStart: number
  /** Monotonic time of the newest read to confirm, in milliseconds. */
  readAskedAt: number
  readonly progress: Map<string, Progress>
  /** Notified when there is something to send. */
  readonly work: Condition
  /** Notified when an append was answered. */
  readonly acknowledged: Condition
  /** Notified when commands were applied or the role changed. */
  readonly changed: Condition
}

/** What a replica needs. */
export interface ReplicaInputs {
  readonly address: string
  readonly availabilityZone: string
  readonly storage: Storage
  readonly transport: Transport
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly lifecycle: Lifecycle
  /** Applies a committed command in log order. */
  readonly apply: (command: Command, index: number) => Outcome
}

/** One replica of the replicated log. */
export interface Replica {
  readonly state: ReplicaState
  /**
   * Appends a command and waits until it is applied.
   * @param command - the command
   * @returns its outcome; a failure `not leader` means that it was not appended, `unknown outcome` that it may be
   */
  propose (command: Command): ResultAsync<Outcome, Failure>
  /**
   * Confirms that this replica leads and has applied all that was committed before the call.
   * @returns the applied index, or a failure
   */
  confirmRead (): ResultAsync<number, Failure>
  /** Answers a vote request. */
  handleVote (request: VoteRequest): Promise<Result<VoteAnswer, Failure>>
  /** Answers an append request. */
  handleAppend (request: AppendRequest): Promise<Result<AppendAnswer, Failure>>
  /** Tells who this replica is. */
  identify (): Identification
  /**
   * Takes the first membership.
   * @param members - the members
   * @returns false when the replica has another membership already
   */
  form (members: readonly Member[]): Promise<boolean>
  /**
   * Ends the leadership, if any, and never leads again.
   * @returns a promise that resolves when a successor has been asked
   */
  resign (): Promise<void>
}

interface Proposal {
  readonly term: number
  readonly settle: (result: Result<Outcome, Failure>) => void
}

/**
 * Loads the log and starts the replica's tasks.
 * @param inputs - what the replica needs
 * @returns the replica, or a failure when its data can't be used
 */
export function createReplica (inputs: ReplicaInputs): ResultAsync<Replica, Failure> {
  return inputs.storage.load().map(saved => {
    const state: ReplicaState = {
      identity: saved.identity,
      address: inputs.address,
      role: ReplicaRole.Follower,
      term: saved.term,
      votedFor: saved.votedFor,
      entries: [...saved.entries],
      members: membersIn(saved.entries),
      commitIndex: 0,
      appliedIndex: 0,
      syncedIndex: 0,
      leaderAddress: undefined,
      heardAt: inputs.clock.now(),
      termStart: 0,
      readAskedAt: -Infinity,
      progress: new Map(),
      work: createCondition(),
      acknowledged: createCondition(),
      changed: createCondition()
    }
    return startReplica(inputs, state)
  })
}

/**
 * Reads the index of the last entry.
 * @param state - the replica
 * @returns the index, 0 for an empty log
 */
export function lastIndexOf (state: ReplicaState): number {
  return state.entries.at(-1)?.index ?? 0
}

/**
 * Reads the term of an entry.
 * @param state - the replica
 * @param index - index of the entry
 * @returns the term, or undefined when the entry is not there; 0 for index 0
 */
export function termAt (state: ReplicaState, index: number): number | undefined {
  if (index === 0) return 0
  return state.entries[index - 1]?.term
}

function membersIn (entries: readonly Entry[]): readonly Member[] {
  for (let position = entries.length - 1; position >= 0; position--) {
    const payload = entries[position]?.payload
    if (payload?.kind === PayloadKind.Members) return payload.members
  }
  return []
}

function startReplica (inputs: ReplicaInputs, state: ReplicaState): Replica {
  const { clock, storage, transport, lifecycle, logger, metrics } = inputs
  const proposals = new Map<number, Proposal>()
  const peers = new Map<string, AbortController>()
  let resigned = false

  async function save (records: readonly StoredRecord[]): Promise<boolean> {
    const saved = await storage.append(records)
    if (saved.isErr()) lifecycle.fail(saved.error)
    return saved.isOk()
  }

  function enterTerm (term: number, votedFor: string | undefined): StoredRecord {
    state.term = term
    state.votedFor = votedFor
    return { kind: RecordKind.Vote, term, votedFor }
  }

  function stepDown (): void {
    if (state.role === ReplicaRole.Leader) logger.write(LogEvents.leaderLost, { value: state.term })
    state.role = ReplicaRole.Follower
    state.leaderAddress = undefined
    for (const controller of peers.values()) controller.abort()
    peers.clear()
    for (const proposal of proposals.values()) proposal.settle(err(unknownOutcome()))
    proposals.clear()
    state.acknowledged.notify()
    state.changed.notify()
  }

  function unknownOutcome (): Failure {
    return createFailure(FailureReason.Unknown, { step: Step.Propose, peer: state.address }, 'leadership was lost before the command was applied')
  }

  function notLeader (step: Step): Failure {
    return createFailure(FailureReason.NotLeader, { step, peer: state.address, alternative: state.leaderAddress }, 'this replica is not the leader')
  }

  function appendOwn (payload: Payload): Entry {
    const entry: Entry = { index: lastIndexOf(state) + 1, term: state.term, payload }
    state.entries.push(entry)
    if (payload.kind === PayloadKind.Members) adoptMembers(payload.members)
    metrics.count(Counter.LogEntries, payload.kind)
    save([{ kind: RecordKind.Entry, entry }]).then(saved => {
      if (!saved || state.role !== ReplicaRole.Leader || state.term !== entry.term) return
      state.syncedIndex = Math.max(state.syncedIndex, entry.index)
      advanceCommit()
    }).catch(() => {})
    state.work.notify()
    return entry
  }

  function adoptMembers (members: readonly Member[]): void {
    state.members = members
    logger.write(LogEvents.membersChanged, { detail: members.map(member => `${member.address} ${member.standing}`).join(', ') })
    if (state.role === ReplicaRole.Leader) startPeers()
  }

  function startPeers (): void {
    for (const member of state.members) {
      if (member.identity === state.identity || peers.has(member.identity)) continue
      const controller = new AbortController()
      peers.set(member.identity, controller)
      const progress: Progress = { nextIndex: lastIndexOf(state) + 1, matchIndex: 0, acknowledgedAt: -Infinity }
      state.progress.set(member.identity, progress)
      lifecycle.run(signal => runReplicaPeer({
        state, member, progress, transport, clock, reportTerm, reportMatch: advanceCommit, signal: AbortSignal.any([signal, controller.signal])
      }))
    }
  }

  function reportTerm (term: number): void {
    if (term <= state.term) return
    save([enterTerm(term, undefined)]).catch(() => {})
    stepDown()
  }

  function advanceCommit (): void {
    if (state.role !== ReplicaRole.Leader) return
    const reached = reachedByMajority(votersOf(state.members).map(member => matchOf(member)))
    if (reached <= state.commitIndex) return
    // An entry of an earlier term is committed only together with one of the leader's own term.
    if (termAt(state, reached) !== state.term) return
    commit(reached)
    state.work.notify()
  }

  function matchOf (member: Member): number {
    if (member.identity === state.identity) return state.syncedIndex
    return state.progress.get(member.identity)?.matchIndex ?? 0
  }

  function commit (index: number): void {
    state.commitIndex = index
    while (state.appliedIndex < index) {
      const entry = state.entries[state.appliedIndex]
      assert(entry !== undefined, `entry ${state.appliedIndex + 1} is committed but missing`)
      state.appliedIndex = entry.index
      applyEntry(entry)
    }
    state.changed.notify()
    state.acknowledged.notify()
  }

  function applyEntry (entry: Entry): void {
    switch (entry.payload.kind) {
      case PayloadKind.Nothing: return
      case PayloadKind.Members: return
      case PayloadKind.Command: {
        const outcome = inputs.apply(entry.payload.command, entry.index)
        const proposal = proposals.get(entry.index)
        if (proposal === undefined) return
        proposals.delete(entry.index)
        proposal.settle(proposal.term === entry.term ? ok(outcome) : err(unknownOutcome()))
        return
      }
      default: assertNever(entry.payload)
    }
  }

  function becomeLeader (): void {
    state.role = ReplicaRole.Leader
    state.leaderAddress = state.address
    state.progress.clear()
    state.syncedIndex = lastIndexOf(state)
    logger.write(LogEvents.leaderElected, { value: state.term })
    state.termStart = appendOwn({ kind: PayloadKind.Nothing }).index
    startPeers()
    state.changed.notify()
  }

  function majorityHeardSince (time: number): boolean {
    const times = votersOf(state.members).map(member =>
      member.identity === state.identity ? Infinity : state.progress.get(member.identity)?.acknowledgedAt ?? -Infinity)
    return reachedByMajority(times) >= time
  }

  async function runElections (signal: AbortSignal): Promise<void> {
    let ledSince = 0
    while (!signal.aborted) {
      if (state.role === ReplicaRole.Leader) {
        await clock.sleep(heartbeatMs, signal)
        const now = clock.now()
        ledSince = ledSince === 0 ? now : ledSince
        if (now - ledSince > electionMinMs && !majorityHeardSince(now - electionMinMs)) stepDown()
        continue
      }
      ledSince = 0
      const timeoutMs = electionMinMs + inputs.random.below(electionMaxMs - electionMinMs)
      const silenceMs = clock.now() - state.heardAt
      if (silenceMs < timeoutMs) {
        await clock.sleep(timeoutMs - silenceMs, signal)
        continue
      }
      if (resigned) {
        await clock.sleep(electionMaxMs, signal)
        continue
      }
      if (!isVoter()) {
        state.heardAt = clock.now()
        continue
      }
      await campaign()
      if (!isLeader()) state.heardAt = Math.max(state.heardAt, clock.now() - electionMinMs)
    }
  }

  function isLeader (): boolean {
    return state.role === ReplicaRole.Leader
  }

  function isVoter (): boolean {
    return votersOf(state.members).some(member => member.identity === state.identity)
  }

  async function campaign (): Promise<void> {
    const term = state.term + 1
    if (!await collectVotes(term, true)) return
    if (state.term + 1 !== term) return
    state.role = ReplicaRole.Candidate
    state.leaderAddress = undefined
    if (!await save([enterTerm(term, state.identity)])) return
    const won = await collectVotes(term, false)
    if (won && state.term === term && state.role === ReplicaRole.Candidate) becomeLeader()
    else if (state.role === ReplicaRole.Candidate) state.role = ReplicaRole.Follower
  }

  async function collectVotes (term: number, preVote: boolean): Promise<boolean> {
    const voters = votersOf(state.members)
    const lastIndex = lastIndexOf(state)
    const lastTerm = termAt(state, lastIndex) ?? 0
    const needed = majorityOf(voters.length)
    let granted = 1
    if (granted >= needed) return true
    return new Promise(resolve => {
      let answered = 1
      const tally = (answer: Result<VoteAnswer, Failure>): void => {
        answered++
        if (answer.isOk() && answer.value.term > state.term && !preVote) reportTerm(answer.value.term)
        if (answer.isOk() && answer.value.granted) granted++
        if (granted >= needed) return resolve(true)
        if (answered === voters.length) resolve(false)
      }
      for (const voter of voters) {
        if (voter.identity === state.identity) continue
        const request: VoteRequest = { to: voter.identity, term, candidate: state.identity, lastIndex, lastTerm, preVote }
        transport.vote(voter.address, request).then(tally, () => {})
      }
    })
  }

  function wrongIdentity (step: Step, to: string): Failure {
    return createFailure(FailureReason.Rejected, { step, peer: state.address }, `the request is for identity ${to}, this replica is ${state.identity}`)
  }

  async function handleVote (request: VoteRequest): Promise<Result<VoteAnswer, Failure>> {
    if (request.to !== state.identity) return err(wrongIdentity(Step.Vote, request.to))
    const lastIndex = lastIndexOf(state)
    const leaderSilenceMs = state.role === ReplicaRole.Leader ? 0 : clock.now() - state.heardAt
    const granted = decideVote({
      term: state.term, votedFor: state.votedFor, lastIndex, lastTerm: termAt(state, lastIndex) ?? 0, leaderSilenceMs
    }, request)
    if (!granted || request.preVote) return ok({ term: state.term, granted })
    if (request.term > state.term && state.role !== ReplicaRole.Follower) stepDown()
    const record = enterTerm(request.term, request.candidate)
    state.heardAt = clock.now()
    if (!await save([record])) return err(storageEnded(Step.Vote))
    return ok({ term: request.term, granted: true })
  }

  async function handleAppend (request: AppendRequest): Promise<Result<AppendAnswer, Failure>> {
    if (request.to !== state.identity) return err(wrongIdentity(Step.Append, request.to))
    if (request.term < state.term) return ok({ term: state.term, accepted: false, index: lastIndexOf(state) })
    const records: StoredRecord[] = []
    if (request.term > state.term) records.push(enterTerm(request.term, undefined))
    if (state.role !== ReplicaRole.Follower) stepDown()
    state.heardAt = clock.now()
    state.leaderAddress = request.leaderAddress
    if (request.successor !== undefined && request.term === state.term) return ok(follow(request.successor))
    const matches = termAt(state, request.previousIndex) === request.previousTerm
    if (matches) records.push(...mergeEntries(request.entries))
    if (!await save(records)) return err(storageEnded(Step.Append))
    if (!matches) return ok({ term: request.term, accepted: false, index: Math.min(lastIndexOf(state), request.previousIndex - 1) })
    const index = request.previousIndex + request.entries.length
    if (state.term === request.term && Math.min(request.commitIndex, index) > state.commitIndex) commit(Math.min(request.commitIndex, index))
    return ok({ term: request.term, accepted: true, index })
  }

  // The leader has ended its leadership itself, so neither this vote nor the successor waits for an election timeout.
  function follow (successor: string): AppendAnswer {
    state.heardAt = -Infinity
    state.leaderAddress = undefined
    if (successor === state.identity) campaign().catch(() => {})
    return { term: state.term, accepted: true, index: state.commitIndex }
  }

  function mergeEntries (entries: readonly Entry[]): StoredRecord[] {
    const records: StoredRecord[] = []
    for (const entry of entries) {
      const present = termAt(state, entry.index)
      if (present === entry.term) continue
      if (present !== undefined) {
        assert(entry.index > state.commitIndex, `committed entry ${entry.index} would be replaced`)
        state.entries.length = entry.index - 1
        state.members = membersIn(state.entries)
        records.push({ kind: RecordKind.Truncation, from: entry.index })
      }
      state.entries.push(entry)
      records.push({ kind: RecordKind.Entry, entry })
      if (entry.payload.kind === PayloadKind.Members) adoptMembers(entry.payload.members)
    }
    return records
  }

  function storageEnded (step: Step): Failure {
    return createFailure(FailureReason.Storage, { step, peer: state.address }, 'the storage of this replica has failed')
  }

  function propose (command: Command): ResultAsync<Outcome, Failure> {
    if (state.role !== ReplicaRole.Leader) return new ResultAsync(Promise.resolve(err(notLeader(Step.Propose))))
    const startedAt = clock.now()
    const entry = appendOwn({ kind: PayloadKind.Command, command })
    return new ResultAsync(new Promise(resolve => {
      const timer = setTimeout(() => {
        proposals.delete(entry.index)
        resolve(err(createFailure(FailureReason.Unknown, { step: Step.Propose, peer: state.address }, `the command was not committed within ${proposalLimitMs} ms`)))
      }, proposalLimitMs)
      proposals.set(entry.index, {
        term: entry.term,
        settle (result) {
          clearTimeout(timer)
          metrics.record(Latency.Commit, clock.now() - startedAt)
          resolve(result)
        }
      })
    }))
  }

  async function confirm (): Promise<Result<number, Failure>> {
    if (state.role !== ReplicaRole.Leader) return err(notLeader(Step.ConfirmRead))
    const askedAt = clock.now()
    const term = state.term
    // Before the first entry of its own term is committed, a leader may not know the newest commit index.
    const needed = Math.max(state.commitIndex, state.termStart)
    state.readAskedAt = askedAt
    state.work.notify()
    while (state.role === ReplicaRole.Leader && state.term === term) {
      if (majorityHeardSince(askedAt) && state.appliedIndex >= needed) return ok(state.appliedIndex)
      const leftMs = askedAt + confirmLimitMs - clock.now()
      if (leftMs <= 0) return err(createFailure(FailureReason.NoQuorum, { step: Step.ConfirmRead, peer: state.address }, 'no majority confirmed the leadership'))
      await state.acknowledged.wait(leftMs, lifecycle.signal)
      if (lifecycle.signal.aborted) break
    }
    return err(notLeader(Step.ConfirmRead))
  }

  async function form (members: readonly Member[]): Promise<boolean> {
    if (state.entries.length > 0) return JSON.stringify(membersIn(state.entries)) === JSON.stringify(members)
    const entry: Entry = { index: 1, term: 0, payload: { kind: PayloadKind.Members, members } }
    state.entries.push(entry)
    adoptMembers(members)
    logger.write(LogEvents.logFormed, { value: members.length })
    return save([{ kind: RecordKind.Entry, entry }])
  }

  lifecycle.own(() => storage.close())
  lifecycle.own(stepDown)
  lifecycle.run(runElections)
  return {
    state,
    propose,
    confirmRead: () => okAsync<undefined, Failure>(undefined).andThen(() => new ResultAsync(confirm())),
    handleVote,
    handleAppend,
    identify: () => ({
      identity: state.identity,
      address: state.address,
      availabilityZone: inputs.availabilityZone,
      formed: state.entries.length > 0,
      leaderAddress: state.leaderAddress
    }),
    form,
    async resign () {
      resigned = true
      await handOver({ state, transport, clock, stepDown })
    }
  }
}
