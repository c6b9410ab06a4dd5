/**
 * The proposals of a leader whose entries are not applied yet, with their total size.
 * @module
 */
import type { Result } from 'neverthrow'
import type { Failure } from '../program/failure.ts'
import type { Outcome } from '../state/commands.ts'

/** A proposed command that is not applied yet. Its caller may have given up. */
export interface Proposal {
  readonly term: number
  /** Approximate size of the entry, in bytes. */
  readonly bytes: number
  readonly settle: (result: Result<Outcome, Failure>) => void
}

/** Proposals by index of their entry. */
export interface PendingProposals {
  readonly size: number
  /** Total size of the entries, in bytes. */
  readonly bytes: number
  /**
   * Adds a proposal.
   * @param index - index of its entry, which has no proposal yet
   * @param proposal - the proposal
   */
  add (index: number, proposal: Proposal): void
  /**
   * Removes a proposal.
   * @param index - index of its entry
   * @returns the proposal, or undefined if the entry was not proposed by this replica in its current leadership
   */
  take (index: number): Proposal | undefined
  /**
   * Removes all proposals.
   * @returns the proposals, in the order of their entries
   */
  takeAll (): Proposal[]
}

/**
 * Creates an empty collection.
 * @returns the collection
 */
export function createPendingProposals (): PendingProposals {
  const proposals = new Map<number, Proposal>()
  let bytes = 0
  return {
    get size () { return proposals.size },
    get bytes () { return bytes },
    add (index, proposal) {
      proposals.set(index, proposal)
      bytes += proposal.bytes
    },
    take (index) {
      const proposal = proposals.get(index)
      if (proposal === undefined) return undefined
      proposals.delete(index)
      bytes -= proposal.bytes
      return proposal
    },
    takeAll () {
      const all = [...proposals.values()]
      proposals.clear()
      bytes = 0
      return all
    }
  }
}
