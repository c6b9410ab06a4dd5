/**
 * Requests to the platform's backend servers over HTTP/1.1, each on a connection of its own: a kept connection may be
 * reset by its idle limit or carry a stray answer, and then nobody knows whether the request ran.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { Client, type Dispatcher } from 'undici'
import {
  type BackendAnswer, BackendAnswerKind, type BackendRequest, BackendServerClient, type BackendServerTarget, type ExchangeFailure, type ToldLoad
} from '../connection/backendServerClient.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../process/failure.ts'
import { filterHeaders, Header } from './names.ts'

/** Limit for opening a connection to a backend server, in milliseconds; the farthest is 40 ms away and back. */
const connectLimitMs = 250

const misdirectedStatus = 421

/** Lengths are taken from the connection, and its load is for the gateway itself. */
const droppedFromAnswers: ReadonlySet<string> = new Set([Header.load])

class BackendServerHttp extends BackendServerClient {
  override async send (target: BackendServerTarget, request: BackendRequest, signal: AbortSignal): Promise<Result<BackendAnswer, ExchangeFailure>> {
    const exchange = new Exchange(target, request)
    signal.addEventListener('abort', () => exchange.end(), { once: true })
    if (signal.aborted) exchange.end()
    return await exchange.answer
  }
}

/**
 * Creates the calls to backend servers.
 * @returns the calls
 */
export function createBackendServerHttp (): BackendServerClient {
  return new BackendServerHttp()
}

/** One request and its answer; it owns the connection. */
class Exchange implements Dispatcher.DispatchHandler {
  readonly answer: Promise<Result<BackendAnswer, ExchangeFailure>>
  private readonly target: BackendServerTarget
  private readonly requestId: string
  private readonly client: Client
  private readonly body: PieceQueue
  private settle: (result: Result<BackendAnswer, ExchangeFailure>) => void = () => {}
  private isSent = false
  private hasAnswer = false

  constructor (target: BackendServerTarget, request: BackendRequest) {
    this.target = target
    this.requestId = request.id
    this.answer = new Promise(resolve => { this.settle = resolve })
    this.body = new PieceQueue()
    this.client = new Client(`http://${target.address}`, { connect: { timeout: connectLimitMs, noDelay: true }, headersTimeout: 0, bodyTimeout: 0 })
    const headers = ['host', request.host, Header.expectedServer, target.id, ...request.headers]
    if (request.resumeAfter !== undefined) headers.push(Header.lastEvent, String(request.resumeAfter))
    if (request.timeLeftMs !== undefined) headers.push(Header.timeLeft, String(request.timeLeftMs))
    // Items of jobs name their id apart from their headers.
    if (!request.headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === Header.requestId)) headers.push(Header.requestId, request.id)
    const hasBody = request.body.length > 0 || request.method === 'POST' || request.method === 'PUT'
    this.client.dispatch({
      method: request.method as Dispatcher.HttpMethod, path: request.path, headers, body: hasBody ? Buffer.from(request.body) : null, reset: true
    }, this)
  }

  /** Ends the connection, whatever its state. */
  end (): void {
    this.fail(createFailure(FailureReason.Aborted, { step: Step.ReadAnswer, peer: this.target.address }, 'the exchange was given up'))
  }

  onRequestStart (): void {
    this.isSent = true
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    if (status < 200) return
    const load = readLoad(headers[Header.load])
    if (headers[Header.notRun] !== undefined || status === misdirectedStatus) {
      this.hasAnswer = true
      this.settle(ok({ kind: BackendAnswerKind.NotRun, status, load }))
      this.close()
      return
    }
    const id = headers[Header.requestId]
    if (id !== undefined && id !== this.requestId) {
      this.fail(createFailure(FailureReason.Invalid, { step: Step.FirstByte, peer: this.target.address }, `the answer belongs to request ${String(id)}`))
      return
    }
    const raw: string[] = []
    for (const [name, value] of Object.entries(headers)) {
      for (const single of Array.isArray(value) ? value : [value ?? '']) raw.push(name, single)
    }
    this.hasAnswer = true
    this.settle(ok({ kind: BackendAnswerKind.Answer, status, headers: filterHeaders(raw, droppedFromAnswers), body: this.body, load }))
  }

  onResponseData (_controller: Dispatcher.DispatchController, piece: Buffer): void {
    this.body.push(piece)
  }

  onResponseEnd (): void {
    this.body.finish(undefined)
    this.close()
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.fail(toFailure(error, { step: this.hasAnswer ? Step.ReadAnswer : this.isSent ? Step.FirstByte : Step.Connect, peer: this.target.address }))
  }

  private fail (failure: Failure): void {
    if (this.hasAnswer) this.body.finish(failure)
    else this.settle(err({ sent: this.isSent, failure }))
    this.close()
  }

  // The connection must be gone at once: a backend server works on as long as it is open.
  private close (): void {
    this.client.destroy().catch(() => {})
  }
}

/** Pieces of a body between the connection and its reader. */
class PieceQueue implements AsyncIterable<Buffer> {
  private readonly pieces: Buffer[] = []
  private isFinished = false
  private failure: Failure | undefined
  private wake: () => void = () => {}

  push (piece: Buffer): void {
    this.pieces.push(piece)
    this.wake()
  }

  finish (failure: Failure | undefined): void {
    if (this.isFinished) return
    this.isFinished = true
    this.failure = failure
    this.wake()
  }

  async * [Symbol.asyncIterator] (): AsyncIterator<Buffer> {
    while (true) {
      const piece = this.pieces.shift()
      if (piece !== undefined) {
        yield piece
        continue
      }
      if (this.failure !== undefined) throw this.failure
      if (this.isFinished) return
      await new Promise<void>(resolve => { this.wake = resolve })
    }
  }
}

function readLoad (value: string | string[] | undefined): ToldLoad | undefined {
  if (typeof value !== 'string') return undefined
  const [running, waiting] = value.split(',').map(Number)
  if (running === undefined || waiting === undefined || !Number.isFinite(running + waiting)) return undefined
  return { running, waiting }
}
