/**
 * Responses to clients that are not trusted: the bytes that their readers have not taken count to the memory for clients.
 * @module
 */
import { type IncomingMessage, ServerResponse } from 'node:http'
import { HoldingKind, type MemoryBudget, type MemoryHolding, sparedBytes } from '../process/program/memoryBudget.ts'
import { whenEnded } from './exchangeEnd.ts'

/** Called when a write has been passed on. */
type WriteCallback = (error: Error | null | undefined) => void

/** A response whose unread bytes are limited. When they have to give way, the connection is closed. */
export class ClientResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
  /** Client account to which the unread bytes count; undefined if it is not known. */
  account: string | undefined
  /** Undefined for a response of which nothing is counted. */
  private budget: MemoryBudget | undefined
  /** Undefined until there are more unread bytes than are always kept. */
  private unread: MemoryHolding | undefined

  /**
   * Counts unread bytes from now on.
   * @param budget - the memory for clients
   */
  limitUnread (budget: MemoryBudget): void {
    this.budget = budget
    this.on('drain', () => this.countUnread())
  }

  /**
   * Writes a part of the body.
   * @param chunk - the part
   * @param encoding - encoding of a text, or the callback
   * @param callback - called when the part has been passed on
   * @returns whether the connection accepts more
   */
  override write (chunk: unknown, encoding?: BufferEncoding | WriteCallback, callback?: WriteCallback): boolean {
    const acceptsMore = super.write(chunk, encoding as BufferEncoding, callback)
    this.countUnread()
    return acceptsMore
  }

  /**
   * Ends the response.
   * @param chunk - the last part, or the callback
   * @param encoding - encoding of a text, or the callback
   * @param callback - called when all has been passed on
   * @returns the response
   */
  override end (chunk?: unknown, encoding?: BufferEncoding | (() => void), callback?: () => void): this {
    super.end(chunk, encoding as BufferEncoding, callback)
    this.countUnread()
    return this
  }

  private countUnread (): void {
    const bytes = this.destroyed || this.writableFinished ? 0 : this.writableLength
    if (this.unread === undefined && bytes > sparedBytes) this.unread = this.openHolding()
    this.unread?.resize(bytes)
  }

  private openHolding (): MemoryHolding | undefined {
    const { socket } = this.req
    const holding = this.budget?.open({ kind: HoldingKind.Answer, account: this.account, giveWay: () => socket.destroy() })
    if (holding !== undefined) whenEnded(socket, this, () => holding.close())
    return holding
  }
}
