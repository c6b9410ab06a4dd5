/**
 * The protocol of plain services: one JSON response, which is either complete or discarded.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { createFailure, FailureReason, Step } from '../process/program/failure.ts'
import type { BackendServerConnection } from './backendServerConnection.ts'
import { type OutputChunkReceiver, Protocol } from './protocol.ts'
import type { Attempt, AttemptFailure } from './backendAttempt.ts'

/** Maximum size of a response, in bytes; a server in trouble may send bytes without end, to hundreds of requests at once. */
const maxResponseBytes = 1024 * 1024

class ServiceProtocol extends Protocol {
  override async run (connection: BackendServerConnection, attempt: Attempt, deliver: OutputChunkReceiver): Promise<Result<void, AttemptFailure>> {
    const chunks: Buffer[] = []
    let bytes = 0
    const tooLong = new AbortController()
    const body = JSON.stringify({ requestId: attempt.requestId, input: attempt.input })
    const abortableAttempt = { ...attempt, signal: AbortSignal.any([attempt.signal, tooLong.signal]) }
    const result = await connection.post('/v1/call', body, abortableAttempt, chunk => {
      bytes += chunk.length
      if (bytes > maxResponseBytes) tooLong.abort()
      else chunks.push(chunk)
    })
    if (tooLong.signal.aborted) {
      return err({ failure: createFailure(FailureReason.Invalid, { step: Step.ReadResponse, peer: connection.address }, `the answer has more than ${maxResponseBytes} bytes`), sent: true })
    }
    if (result.isErr()) return err(result.error)
    const response = parseResponse(Buffer.concat(chunks))
    if (response?.requestId === attempt.requestId) {
      await deliver({ offset: 0, text: response.output })
      return ok(undefined)
    }
    return err({
      failure: createFailure(FailureReason.Incomplete, { step: Step.ReadResponse, peer: connection.address }, 'the answer is not that of the request'),
      sent: true
    })
  }
}

const responseSchema = z.object({ requestId: z.string(), output: z.string() })
type ServiceResponse = z.infer<typeof responseSchema>

function parseResponse (bytes: Buffer): ServiceResponse | undefined {
  try {
    return responseSchema.safeParse(JSON.parse(bytes.toString('utf8'))).data
  } catch {
    return undefined
  }
}

/**
 * Creates the protocol of plain services.
 * @returns the protocol
 */
export function createServiceProtocol (): Protocol {
  return new ServiceProtocol()
}
