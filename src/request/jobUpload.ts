/**
 * Upload of a job: newline-delimited JSON, read line by line and sent to control in chunks.
 * @module
 */
import { createHash, randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import type { ControlClient } from '../connection/controlClient.ts'
import { BodyProblem } from '../connection/opaqueRequest.ts'
import { type Command, CommandKind, type Item, type Outcome, OutcomeKind, Priority } from '../process/state/commands.ts'
import { toRefusal } from './bodyRefusal.ts'
import { createLineReader } from './lineReader.ts'
import { Execution, createRefusal, type Refusal, RefusalReason } from './refusal.ts'
import type { StreamedBody } from './streamedBody.ts'

/** Maximum number of items of a job. */
export const maxItems = 160_000

/** Maximum length of the input of an item, in characters. */
export const maxInputCharacters = 65_536

/**
 * Maximum length of a line, in bytes. The longest input takes 393,216 bytes where each of its characters is escaped; the rest is for the other
 * fields and for spaces.
 */
export const maxLineBytes = 512 * 1024

/** Maximum number of items of a chunk. */
const maxChunkItems = 500

/** Size from which a chunk is sent, in characters. */
const flushThresholdCharacters = 256 * 1024

/** Copies of the items of a chunk: their texts, the message to control, and its compressed form. */
const copiesOfItems = 3

/** Timeout of a command to control over all its attempts, in milliseconds. */
const commandTimeoutMs = 15_000

/** Retry delay suggested to a caller whose job has no space, in milliseconds. */
const uploadRetryAfterMs = 5_000

const itemSchema = z.strictObject({
  name: z.string().min(1).max(200),
  input: z.string().max(maxInputCharacters),
  maxTokens: z.number().int().min(1).max(100_000).default(256),
  priority: z.enum(['round-sheet', 'ordinary']).default('ordinary')
})

/** Job as described by its caller. */
export interface JobDescription {
  readonly account: string
  readonly key: string
  readonly route: string
  /** Time at which the job is due, in milliseconds since the epoch. */
  readonly due: number
}

/** Items of a job as newline-delimited JSON, as they arrive. */
export type JobBody = AsyncIterable<Uint8Array> & Partial<Pick<StreamedBody, 'problem' | 'resize'>>

/**
 * Uploads a job and seals it.
 * @param description - account, key, route and due time
 * @param body - the items as newline-delimited JSON
 * @param control - client of the leader
 * @returns the id of the job, or a refusal; a job exists only once its upload is sealed
 */
export async function uploadJob (description: JobDescription, body: JobBody, control: ControlClient): Promise<Result<string, Refusal>> {
  const upload = randomUUID()
  const opened = await executeCommand(control, { kind: CommandKind.OpenUpload, upload, ...description, time: 0 })
  if (opened.isErr()) return err(opened.error)
  if (opened.value.kind === OutcomeKind.Limit) return err(createRefusal(RefusalReason.AccountLimit, opened.value.text, uploadRetryAfterMs))
  if (opened.value.kind === OutcomeKind.Full) return err(createRefusal(RefusalReason.Overloaded, opened.value.text, uploadRetryAfterMs))
  const sent = await uploadItems(upload, description.route, body, control)
  if (sent.isErr()) {
    await control.execute({ kind: CommandKind.DiscardUpload, upload })
    return err(sent.error)
  }
  const { account, key } = description
  const sealed = await executeCommand(control, { kind: CommandKind.Seal, upload, account, key, ...sent.value, time: 0 })
  // The job may exist although the response was lost; the caller retries under the same key to find out.
  if (sealed.isErr()) return err({ ...sealed.error, execution: Execution.Unknown })
  if (sealed.value.kind === OutcomeKind.Job) return ok(sealed.value.job)
  if (sealed.value.kind === OutcomeKind.Conflict) return err(createRefusal(RefusalReason.Conflict, sealed.value.text))
  return err(createRefusal(RefusalReason.ControlUnavailable, 'the upload was discarded before it was sealed'))
}

interface UploadedItems {
  readonly digest: string
  readonly count: number
}

async function uploadItems (upload: string, route: string, body: JobBody, control: ControlClient): Promise<Result<UploadedItems, Refusal>> {
  const hash = createHash('sha256').update(route)
  let items: Item[] = []
  let characters = 0
  let sequence = 0
  let count = 0

  async function flush (): Promise<Result<void, Refusal>> {
    if (items.length === 0) return ok(undefined)
    const sent = await executeCommand(control, { kind: CommandKind.AppendItems, upload, sequence, items, time: 0 })
    if (sent.isErr()) return err(sent.error)
    if (sent.value.kind === OutcomeKind.Full) return err(createRefusal(RefusalReason.Overloaded, sent.value.text, uploadRetryAfterMs))
    if (sent.value.kind !== OutcomeKind.Done) return err(createRefusal(RefusalReason.ControlUnavailable, 'the upload was discarded'))
    sequence++
    items = []
    characters = 0
    return ok(undefined)
  }

  async function addLine (line: string): Promise<Result<void, Refusal>> {
    if (line.trim() === '') return ok(undefined)
    count++
    if (count > maxItems) return err(createRefusal(RefusalReason.TooLarge, `a job has at most ${maxItems} items`))
    const item = parseItem(line, count)
    if (item.isErr()) return err(item.error)
    hash.update('\n').update(JSON.stringify(item.value))
    items.push(item.value)
    characters += line.length
    if (items.length < maxChunkItems && characters < flushThresholdCharacters) return ok(undefined)
    return await flush()
  }

  const reader = createLineReader(maxLineBytes)
  try {
    for await (const chunk of body) {
      if (body.resize?.(reader.bytes + chunk.length + characters * copiesOfItems) === false) return err(toRefusal(BodyProblem.GaveWay))
      const lines = reader.add(chunk)
      if (lines.isErr()) return err(createRefusal(RefusalReason.TooLarge, `line ${lines.error} has more than ${maxLineBytes} bytes`))
      for (const line of lines.value) {
        const added = await addLine(line)
        if (added.isErr()) return err(added.error)
      }
    }
  } catch (error) {
    if (body.problem !== undefined) return err(toRefusal(body.problem))
    return err(createRefusal(RefusalReason.CallerDisconnected, `the upload broke off: ${String(error)}`))
  }
  const last = await addLine(reader.end())
  if (last.isErr()) return err(last.error)
  const flushed = await flush()
  if (flushed.isErr()) return err(flushed.error)
  if (count === 0) return err(createRefusal(RefusalReason.InvalidRequest, 'the job has no items'))
  return ok({ digest: hash.digest('base64'), count })
}

function parseItem (line: string, number: number): Result<Item, Refusal> {
  let value: unknown
  try {
    value = JSON.parse(line)
  } catch {
    return err(createRefusal(RefusalReason.InvalidRequest, `line ${number} is not JSON`))
  }
  const parsed = itemSchema.safeParse(value)
  if (!parsed.success) return err(createRefusal(RefusalReason.InvalidRequest, `line ${number}: ${parsed.error.issues[0]?.message ?? 'invalid item'}`))
  const { priority, ...rest } = parsed.data
  return ok({ ...rest, priority: priority === 'round-sheet' ? Priority.RoundSheet : Priority.Ordinary })
}

async function executeCommand (control: ControlClient, command: Command): Promise<Result<Outcome, Refusal>> {
  const outcome = await control.execute(command, commandTimeoutMs)
  return outcome.mapErr(failure => ({ reason: RefusalReason.ControlUnavailable, execution: Execution.NotRun, message: failure.message, retryAfterMs: 1_000 }))
}
