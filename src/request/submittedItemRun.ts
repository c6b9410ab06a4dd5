/**
 * One run of an item of a submitted job on a backend server.
 * @module
 */
import { type BackendResponse, BackendResponseKind, type BackendServerClient, type BackendServerTarget, confirmResponseEnd } from '../connection/backendServerClient.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../process/program/failure.ts'
import type { SubmittedItem } from '../process/jobs/submission.ts'
import { createEventSplitter } from './eventStream.ts'

/** How a run ended. */
export const RunEnd = {
  /** The output is complete. */
  Complete: 'complete',
  /** The server reports that the item can never succeed. */
  Impossible: 'impossible',
  /** The server ran the item and failed. */
  Failed: 'failed',
  /** The server did not run the item. */
  NotRun: 'not run',
  /** The run was truncated or interrupted; another run may resume it. */
  Interrupted: 'interrupted'
} as const
export type RunEnd = typeof RunEnd[keyof typeof RunEnd]

/** Maximum size of an event of an item, in bytes; far above the text of a token. */
const maxItemEventBytes = 16 * 1024

/** Maximum output of an item beside that of its tokens, and of a token on average, in characters; several times what a token has. */
const baseOutputCharacters = 64 * 1024
const maxCharactersPerToken = 256

/** Maximum number of events of an item that names no number of tokens. */
const maxUncountedEvents = 10_000

/** Size of the output of an item. */
export interface OutputSize {
  readonly events: number
  readonly characters: number
}

/** Output of an item so far. */
export interface ItemProgress {
  /** Data of the events, in order. */
  readonly data: string[]
  /** Id of the last event. */
  lastEvent: number | undefined
}

/** Settings of one run of an item. */
export interface SubmittedItemRun {
  readonly item: SubmittedItem
  readonly host: string
  /** Name of the client account that the item belongs to; undefined if it belongs to none. */
  readonly account?: string | undefined
  readonly target: BackendServerTarget
  readonly client: BackendServerClient
  /** Extended as events arrive; shared by all runs of the item. */
  readonly progress: ItemProgress
  /** Size of the output before this run. */
  readonly saved: OutputSize
  /**
   * Called before an event is added to the progress.
   * @param characters - size of its data
   * @returns false if there is no memory for it, which interrupts the run
   */
  readonly reserve: (characters: number) => boolean
  /** Longest time without an event of the output, in milliseconds. */
  readonly idleTimeoutMs: number
  /** Called with the response once its head has arrived, for what it says of the server. */
  readonly recordResponse: (response: BackendResponse) => void
  /** Aborts to interrupt the run. */
  readonly signal: AbortSignal
}

/** Outcome of a run, with the failure that ended it, if any. */
export interface RunOutcome {
  readonly end: RunEnd
  readonly failure?: Failure
  /** Whether the run failed before anything was sent. */
  readonly isUnreachable?: boolean
  /** Whether none of the run's output is part of the item's: it is more than the item can have, or another software version may have written it. */
  readonly isExcessive?: boolean
}

/** Status with which a backend server reports that an item can never succeed. */
const impossibleStatus = 422
const successStatus = 200

/**
 * Runs an item until it ends, is interrupted, or its backend server fails.
 * @param run - settings of the run
 * @returns the outcome
 */
export async function runSubmittedItem (run: SubmittedItemRun): Promise<RunOutcome> {
  const { item, host, target, client, progress, saved, idleTimeoutMs, signal } = run
  const abort = new AbortController()
  const interrupt = (): void => abort.abort()
  signal.addEventListener('abort', interrupt, { once: true })
  const idleTimer = setTimeout(interrupt, idleTimeoutMs)
  try {
    const headers: string[] = []
    for (const [name, value] of Object.entries(item.headers)) headers.push(name, value)
    const sent = await client.send(target, {
      id: item.id, host, method: 'POST', path: item.path, headers, body: item.body, remainder: undefined, resumeAfter: progress.lastEvent, timeLeftMs: undefined, account: run.account, isRepeatable: true
    }, abort.signal)
    if (sent.isErr()) return { end: sent.error.sent ? RunEnd.Interrupted : RunEnd.NotRun, failure: sent.error.failure, isUnreachable: !sent.error.sent }
    const response = sent.value
    run.recordResponse(response)
    if (response.kind === BackendResponseKind.NotRun) return { end: RunEnd.NotRun }
    if (response.status === impossibleStatus) return { end: RunEnd.Impossible }
    if (response.status !== successStatus) return { end: RunEnd.Failed }
    const splitter = createEventSplitter(maxItemEventBytes)
    const limit = getOutputLimit(item)
    let { events, characters } = saved
    const resumedAfter = progress.lastEvent
    for await (const chunk of response.body) {
      for (const event of splitter.push(chunk)) {
        if (event.data === undefined) continue
        // Only an event of the output is a sign of life: other bytes may come without end.
        idleTimer.refresh()
        events++
        characters += event.data.length
        if (events > limit.events || characters > limit.characters) {
          return {
            end: RunEnd.Interrupted,
            isExcessive: true,
            failure: createFailure(FailureReason.Invalid, { step: Step.ReadResponse, peer: target.address }, `more than ${limit.events} events or ${limit.characters} characters of output`)
          }
        }
        if (event.id === undefined || (progress.lastEvent !== undefined && event.id !== progress.lastEvent + 1)) return { end: RunEnd.Interrupted }
        if (!run.reserve(event.data.length)) {
          return { end: RunEnd.Interrupted, failure: createFailure(FailureReason.Rejected, { step: Step.ReadResponse, peer: target.address }, 'this host holds too much output that the leader has not taken yet') }
        }
        progress.lastEvent = event.id
        progress.data.push(event.data)
      }
    }
    // A resumed run may have nothing left but its end.
    const isTruncated = splitter.pendingBytes > 0 || (!response.isFramed && progress.lastEvent === undefined)
    if (isTruncated) return { end: RunEnd.Interrupted }
    const confirmed = await confirmResponseEnd(response, target, client)
    if (confirmed.isErr()) return { end: RunEnd.Interrupted, failure: confirmed.error }
    // A faulty server may also end the connection early. The end is certain if a resumed run has nothing to add to the output.
    return { end: response.isFramed || progress.lastEvent === resumedAfter ? RunEnd.Complete : RunEnd.Interrupted }
  } catch (error) {
    const failure = toFailure(error, { step: Step.ReadResponse, peer: target.address })
    // An event over the limit.
    return { end: RunEnd.Interrupted, failure, isExcessive: failure.reason === FailureReason.Invalid }
  } finally {
    clearTimeout(idleTimer)
    signal.removeEventListener('abort', interrupt)
    abort.abort()
  }
}

// An event holds at least one token.
function getOutputLimit ({ tokens }: SubmittedItem): OutputSize {
  return { events: tokens > 0 ? tokens : maxUncountedEvents, characters: baseOutputCharacters + tokens * maxCharactersPerToken }
}
