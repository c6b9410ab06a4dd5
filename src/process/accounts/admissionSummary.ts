/**
 * Summary of the decisions on the requests of one client account at one host, for the log. One summary a second bounds the volume, whatever
 * the number of requests.
 * @module
 */

/** Time that a summary covers, in milliseconds. */
const periodMs = 1_000

/** One decision, with what it was based on. */
export interface SummarizedDecision {
  readonly isAdmitted: boolean
  /** Requests of all hosts in the latest window, as far as the host knows; undefined before the first sums. */
  readonly used: number | undefined
  /** Age of the sums, in milliseconds; undefined before the first ones. */
  readonly ageMs: number | undefined
  /** Time after which the caller may try again, in milliseconds; 0 for an admitted request. */
  readonly retryMs: number
  /** Requests that the account may send in a window. */
  readonly limit: number
}

/** Figures of one period. Times are in milliseconds; -1 stands for what is not known. */
export interface AdmissionFigures {
  readonly admitted: number
  readonly refused: number
  readonly limit: number
  /** Smallest and largest use that a decision was based on. */
  readonly usedFrom: number
  readonly usedUntil: number
  /** Largest age of the sums at a decision. */
  readonly ageMs: number
  /** Shortest and longest time that a refusal named. */
  readonly retryFromMs: number
  readonly retryUntilMs: number
}

/** Collects decisions until their period has ended. */
export interface AdmissionSummary {
  /**
   * Adds a decision.
   * @param now - monotonic time in milliseconds
   * @param decision - the decision
   */
  add (now: number, decision: SummarizedDecision): void
  /**
   * Removes the collected decisions once their period has ended.
   * @param now - monotonic time in milliseconds
   * @returns their figures; undefined if the period has not ended, or if the account was neither refused nor near its limit in it
   */
  take (now: number): AdmissionFigures | undefined
}

/**
 * Creates a summary without decisions.
 * @returns the summary
 */
export function createAdmissionSummary (): AdmissionSummary {
  let from: number | undefined
  let figures: AdmissionFigures | undefined
  return {
    add (now, decision) {
      from ??= now
      figures = addDecision(figures, decision)
    },
    take (now) {
      if (from === undefined || now - from < periodMs) return undefined
      const ended = figures
      from = undefined
      figures = undefined
      return ended !== undefined && (ended.refused > 0 || ended.usedUntil >= ended.limit) ? ended : undefined
    }
  }
}

function addDecision (figures: AdmissionFigures | undefined, { isAdmitted, used = -1, ageMs = -1, retryMs, limit }: SummarizedDecision): AdmissionFigures {
  const known = figures ?? { admitted: 0, refused: 0, limit, usedFrom: used, usedUntil: used, ageMs: -1, retryFromMs: -1, retryUntilMs: -1 }
  return {
    admitted: known.admitted + (isAdmitted ? 1 : 0),
    refused: known.refused + (isAdmitted ? 0 : 1),
    limit: Math.round(limit),
    usedFrom: Math.min(known.usedFrom, used),
    usedUntil: Math.max(known.usedUntil, used),
    ageMs: Math.max(known.ageMs, Math.round(ageMs)),
    retryFromMs: isAdmitted ? known.retryFromMs : Math.round(known.retryFromMs < 0 ? retryMs : Math.min(known.retryFromMs, retryMs)),
    retryUntilMs: isAdmitted ? known.retryUntilMs : Math.round(Math.max(known.retryUntilMs, retryMs))
  }
}
