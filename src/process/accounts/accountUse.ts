/**
 * What hosts and leader tell each other of the use of client accounts, and its encoding.
 * @module
 */
import type { AccountCount } from '../../request/placement/accountLimit.ts'

/**
 * Requests by name of the account: those admitted in the latest window, those of them that are recent, those that
 * leave the window next, those refused recently, and those that allotments allow in a window. Zeros at the
 * end are left out, and the last number if it is that of the admitted ones.
 */
export type AccountUse = Readonly<Record<string, readonly number[]>>

/** Asks the leader for an allotment. */
export interface AllotmentRequest {
  /** Identifies the host's process start. */
  readonly holder: string
  /** Increases with each report of use and each request for an allotment. */
  readonly sequence: number
  /** Name of the account. */
  readonly account: string
  /** What the host has admitted, as in a report. */
  readonly use: readonly number[]
  /** Number of requests that wait for the answer. */
  readonly wanted: number
}

/** The response to such a request. */
export interface AllotmentResponse {
  /** Requests that the host may have admitted in any window; undefined if the account has no limit, or the request came too late. */
  readonly allotment: number | undefined
}

/**
 * Reads the counts of an account in a message.
 * @param numbers - the numbers; missing ones are 0
 * @returns the counts
 */
export function readCount ([admitted = 0, recent = 0, ending = 0, refused = 0, committed = 0]: readonly number[]): AccountCount {
  return { admitted, recent, ending, refused, committed: Math.max(admitted, committed) }
}

/**
 * Describes the counts of an account for a message.
 * @param count - the counts
 * @returns the numbers, without zeros at the end
 */
export function describeCount ({ admitted, recent, ending, refused, committed }: AccountCount): number[] {
  if (committed > admitted) return [admitted, recent, ending, refused, committed]
  if (refused > 0) return [admitted, recent, ending, refused]
  if (ending > 0) return [admitted, recent, ending]
  return recent > 0 ? [admitted, recent] : [admitted]
}
