/**
 * The upload of a job: newline-delimited JSON, read line by line and sent to control in chunks.
 * @module
 */
import { createHash, randomUUID } from 'node:crypto'
import { createInterface } from 'node:readline'
import { Readable } from 'node:stream'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import type { ControlClient } from '../connection/controlClient.ts'
import { type Command, CommandKind, type Item, type Outcome, OutcomeKind, Priority } from '../process/state/commands.ts'
import { Execution, refuse, type Refusal, RefusalReason } from './refusal.ts'

/** Most items in one job. */
export const itemLimit = 160_000

/** Longest input of one item, in characters. */
export const inputLimit = 65_536

/** Most items in one chunk. */
const chunkItems = 500

/** Characters after which a chunk is sent. */
const chunkCharacters = 256 * 1024

/** Longest time for one chunk with all tries, in milliseconds. */
const chunkLimitMs = 15_000

/** When a caller with too many open uploads should try again, in milliseconds. */
const uploadRetryMs = 5_000

const itemSchema = z.strictObject({
  name: z.string().min(1).max(200),
  input: z.string().max(inputLimit),
  maxTokens: z.number().int().min(1).max(100_000).default(256),
  priority: z.enum(['round-sheet', 'ordinary']).default('ordinary')
})

/** A job as its caller describes it. */
export interface Submission {
  readonly account: string
  readonly key: string
  readonly route: string
  /** Time of day by which it is due, in milliseconds since the epoch. */
  readonly due: number
}

/**
 * Uploads a job and seals it.
 * @param submission - account, key, route and due time
 * @param body - the lines
 * @param control - calls to the leader
 * @returns the id of the job, or a refusal; a job exists only after it was sealed
 */
export async function uploadJob (submission: Submission, body: ReadableStream<Uint8Array>, control: ControlClient): Promise<Result<string, Refusal>> {
  const upload = randomUUID()
  const opened = await send(control, { kind: CommandKind.OpenUpload, upload, ...submission, time: 0 })
  if (opened.isErr()) return err(opened.error)
  if (opened.value.kind === OutcomeKind.Limit) return err(refuse(RefusalReason.AccountLimit, opened.value.text, uploadRetryMs))
  const sent = await sendLines(upload, submission.route, body, control)
  if (sent.isErr()) {
    await control.execute({ kind: CommandKind.DiscardUpload, upload })
    return err(sent.error)
  }
  const { account, key } = submission
  const sealed = await send(control, { kind: CommandKind.Seal, upload, account, key, ...sent.value, time: 0 })
  // The job may exist although the answer was lost; the caller sends it again under the same key to find out.
  if (sealed.isErr()) return err({ ...sealed.error, execution: Execution.Unknown })
  if (sealed.value.kind === OutcomeKind.Job) return ok(sealed.value.job)
  if (sealed.value.kind === OutcomeKind.Conflict) return err(refuse(RefusalReason.Conflict, sealed.value.text))
  return err(refuse(RefusalReason.ControlUnavailable, 'the upload was discarded before it was sealed'))
}

interface SentLines {
  readonly digest: string
  readonly count: number
}

async function sendLines (upload: string, route: string, body: ReadableStream<Uint8Array>, control: ControlClient): Promise<Result<SentLines, Refusal>> {
  const hash = createHash('sha256').update(route)
  let items: Item[] = []
  let characters = 0
  let sequence = 0
  let count = 0

  async function flush (): Promise<Result<void, Refusal>> {
    if (items.length === 0) return ok(undefined)
    const sent = await send(control, { kind: CommandKind.AppendItems, upload, sequence, items, time: 0 })
    if (sent.isErr()) return err(sent.error)
    if (sent.value.kind !== OutcomeKind.Done) return err(refuse(RefusalReason.ControlUnavailable, 'the upload was discarded'))
    sequence++
    items = []
    characters = 0
    return ok(undefined)
  }

  try {
    const lines = createInterface({ input: Readable.fromWeb(body as Parameters<typeof Readable.fromWeb>[0]), crlfDelay: Infinity })
    for await (const line of lines) {
      if (line.trim() === '') continue
      count++
      if (count > itemLimit) return err(refuse(RefusalReason.TooLarge, `a job has at most ${itemLimit} items`))
      const item = parseItem(line, count)
      if (item.isErr()) return err(item.error)
      hash.update('\n').update(JSON.stringify(item.value))
      items.push(item.value)
      characters += line.length
      if (items.length < chunkItems && characters < chunkCharacters) continue
      const flushed = await flush()
      if (flushed.isErr()) return err(flushed.error)
    }
  } catch (error) {
    return err(refuse(RefusalReason.CallerGone, `the upload broke off: ${String(error)}`))
  }
  const flushed = await flush()
  if (flushed.isErr()) return err(flushed.error)
  if (count === 0) return err(refuse(RefusalReason.InvalidRequest, 'the job has no items'))
  return ok({ digest: hash.digest('base64'), count })
}

function parseItem (line: string, number: number): Result<Item, Refusal> {
  let value: unknown
  try {
    value = JSON.parse(line)
  } catch {
    return err(refuse(RefusalReason.InvalidRequest, `line ${number} is not JSON`))
  }
  const parsed = itemSchema.safeParse(value)
  if (!parsed.success) return err(refuse(RefusalReason.InvalidRequest, `line ${number}: ${parsed.error.issues[0]?.message ?? 'invalid item'}`))
  const { priority, ...rest } = parsed.data
  return ok({ ...rest, priority: priority === 'round-sheet' ? Priority.RoundSheet : Priority.Ordinary })
}

async function send (control: ControlClient, command: Command): Promise<Result<Outcome, Refusal>> {
  const outcome = await control.execute(command, chunkLimitMs)
  return outcome.mapErr(failure => ({ reason: RefusalReason.ControlUnavailable, execution: Execution.NotRun, message: failure.message, retryAfterMs: 1_000 }))
}
