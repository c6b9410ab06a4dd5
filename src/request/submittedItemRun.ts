/**
 * One run of an item of a gateway's job on a backend server.
 * @module
 */
import { BackendResponseKind, type BackendServerClient, type BackendServerTarget } from '../connection/backendServerClient.ts'
import { type Failure, Step, toFailure } from '../process/program/failure.ts'
import type { SubmittedItem } from '../process/jobs/submission.ts'
import { createEventSplitter } from './eventStream.ts'

/** How a run ended. */
export const RunEnd = {
  /** The output is whole. */
  Complete: 'complete',
  /** The server says that the item can never be done. */
  Impossible: 'impossible',
  /** The server ran the item and failed. */
  Failed: 'failed',
  /** The server did not run the item. */
  NotRun: 'not run',
  /** The run broke off or was interrupted; it may go on elsewhere. */
  Interrupted: 'interrupted'
} as const
export type RunEnd = typeof RunEnd[keyof typeof RunEnd]

/** What an item has produced so far. */
export interface ItemProgress {
  /** Data of the events in order. */
  readonly data: string[]
  lastEvent: number | undefined
}

/** A run of an item. */
export interface SubmittedItemRun {
  readonly item: SubmittedItem
  readonly host: string
  readonly target: BackendServerTarget
  readonly client: BackendServerClient
  /** Grows as events arrive, and is kept over runs. */
  readonly progress: ItemProgress
  /** Longest silence between two events, in milliseconds. */
  readonly idleTimeoutMs: number
  readonly signal: AbortSignal
}

/** The end of a run, with the failure that interrupted it if one did. */
export interface RunOutcome {
  readonly end: RunEnd
  readonly failure?: Failure
  /** Whether the connection failed before anything was sent. */
  readonly unreachable?: boolean
}

const impossibleStatus = 422
const successStatus = 200

/**
 * Runs an item until its end, its interruption, or the failure of its server.
 * @param run - the run
 * @returns how it ended
 */
export async function runSubmittedItem (run: SubmittedItemRun): Promise<RunOutcome> {
  const { item, host, target, client, progress, idleTimeoutMs, signal } = run
  const abort = new AbortController()
  const interrupt = (): void => abort.abort()
  signal.addEventListener('abort', interrupt, { once: true })
  const idleTimer = setTimeout(interrupt, idleTimeoutMs)
  try {
    const headers: string[] = []
    for (const [name, value] of Object.entries(item.headers)) headers.push(name, value)
    const sent = await client.send(target, {
      id: item.id, host, method: 'POST', path: item.path, headers, body: item.body, remainder: undefined, resumeAfter: progress.lastEvent, timeLeftMs: undefined
    }, abort.signal)
    if (sent.isErr()) return { end: sent.error.sent ? RunEnd.Interrupted : RunEnd.NotRun, failure: sent.error.failure, unreachable: !sent.error.sent }
    const response = sent.value
    if (response.kind === BackendResponseKind.NotRun) return { end: RunEnd.NotRun }
    if (response.status === impossibleStatus) return { end: RunEnd.Impossible }
    if (response.status !== successStatus) return { end: RunEnd.Failed }
    const splitter = createEventSplitter()
    for await (const chunk of response.body) {
      idleTimer.refresh()
      for (const event of splitter.push(chunk)) {
        if (event.data === undefined) continue
        if (event.id === undefined || (progress.lastEvent !== undefined && event.id !== progress.lastEvent + 1)) return { end: RunEnd.Interrupted }
        progress.lastEvent = event.id
        progress.data.push(event.data)
      }
    }
    return { end: splitter.pendingBytes > 0 ? RunEnd.Interrupted : RunEnd.Complete }
  } catch (error) {
    return { end: RunEnd.Interrupted, failure: toFailure(error, { step: Step.ReadResponse, peer: target.address }) }
  } finally {
    clearTimeout(idleTimer)
    signal.removeEventListener('abort', interrupt)
    abort.abort()
  }
}
