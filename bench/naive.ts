/**
 * The naive dispatcher that the benchmark compares jaychute with: round robin over all backend servers, no priorities, one
 * connection pool for live and batch requests, and up to three immediate retries after any failure.
 * @module
 */
import { createParser } from 'eventsource-parser'
import { Pool } from 'undici'

const maxRetries = 3

/** A request that any backend server can run. */
export interface NaiveRequest {
  readonly requestId: string
  readonly input: string
  readonly maxTokens: number
  /** Called for each token, also for the tokens of attempts that fail later. */
  readonly onToken: () => void
}

/** A dispatcher without priorities. */
export interface NaiveDispatcher {
  /** Number of retries so far. */
  readonly retries: number
  /**
   * Runs a request, with retries.
   * @param request - the request
   * @returns whether an attempt received the complete response
   */
  run (request: NaiveRequest): Promise<boolean>
  /** Closes all connections. */
  close (): Promise<void>
}

/**
 * Creates a naive dispatcher.
 * @param addresses - addresses of the backend servers
 * @returns the dispatcher
 */
export function createNaiveDispatcher (addresses: readonly string[]): NaiveDispatcher {
  const pools = addresses.map(address => new Pool(`http://${address}`, { connections: 512, pipelining: 1 }))
  let next = 0
  let retries = 0

  async function attempt (request: NaiveRequest): Promise<boolean> {
    const pool = pools[next++ % pools.length]
    if (pool === undefined) return false
    let complete = false
    const parser = createParser({
      onEvent (event) {
        if ((JSON.parse(event.data) as { done?: boolean }).done === true) complete = true
        else request.onToken()
      }
    })
    try {
      const response = await pool.request({
        path: '/v1/generate',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ requestId: request.requestId, prompt: request.input, maxTokens: request.maxTokens, offset: 0, partial: '' })
      })
      for await (const chunk of response.body) parser.feed(String(chunk))
    } catch {
      return false
    }
    return complete
  }

  return {
    get retries () { return retries },
    async run (request) {
      for (let attempts = 0; attempts <= maxRetries; attempts++) {
        if (attempts > 0) retries++
        if (await attempt(request)) return true
      }
      return false
    },
    async close () {
      for (const pool of pools) await pool.destroy()
    }
  }
}
