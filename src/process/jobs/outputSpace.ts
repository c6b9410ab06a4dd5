/**
 * Space for the results of jobs on the control hosts: which jobs may be accepted, so that the results of all accepted items can be kept.
 * @module
 */
import { Ending } from '../state/commands.ts'
import type { SubmittedItem } from './submission.ts'
import type { Submissions } from './submissions.ts'

/**
 * Size of all results and saved progress from which only items with saved progress are started, in bytes. Two snapshots and the log have to fit
 * on the disk of a control host, which has 64 MB on the first sites, and the state into its heap of 96 MB.
 */
export const maxOutputBytes = 20 * 1024 * 1024

/**
 * Share of that size up to which jobs are accepted, with what the open items are expected to add. The rest is for items whose results are
 * larger than the average, since an accepted item must be run.
 */
const acceptedShare = 0.9

/**
 * Lowest expected size of a result, in bytes; outputs of the first sites have some 6,400 when they are compressed. Short outputs end first,
 * and items that fail have none, so the results so far may be smaller than those to come.
 */
const minResultBytes = 6 * 1024

/**
 * Size of all open items up to which jobs are accepted, in bytes: beside the largest output, two snapshots fit on the disk. With as many open
 * items as there is space for results, an item has 4 KiB.
 */
export const maxItemBytes = 12 * 1024 * 1024

/** Size of an open item beside its texts and its body, in bytes. */
const bytesPerItem = 512

/**
 * Returns the size of items that are kept until they have run.
 * @param items - the items
 * @returns the approximate size, in bytes
 */
export function countItemBytes (items: Iterable<SubmittedItem>): number {
  let bytes = 0
  for (const { id, path, headers, body } of items) {
    bytes += bytesPerItem + id.length + path.length + body.length
    for (const [name, value] of Object.entries(headers)) bytes += name.length + value.length
  }
  return bytes
}

/**
 * Checks whether the items of new jobs can be kept beside the open ones.
 * @param submissions - the accepted jobs
 * @param newBytes - size of the items of the new job, and of those that are being accepted
 * @returns whether the job may be accepted
 */
export function hasItemSpace (submissions: Submissions, newBytes: number): boolean {
  let bytes = newBytes
  for (const { open } of submissions.jobs.values()) bytes += countItemBytes(open.values())
  return bytes <= maxItemBytes
}

/**
 * Returns the size of all results and saved progress.
 * @param submissions - the accepted jobs
 * @returns the size, in bytes
 */
export function countOutputBytes ({ resultBytes, progressCharacters }: Submissions): number {
  return resultBytes + progressCharacters
}

/**
 * Checks whether the results of new jobs can be kept beside those of the jobs that were accepted before. An open item counts by its
 * expected result, which takes the place of its saved progress.
 * @param submissions - the accepted jobs
 * @param newItems - number of items of the new job, and of those that are being accepted
 * @returns whether the job may be accepted
 */
export function hasOutputSpace (submissions: Submissions, newItems: number): boolean {
  let openItems = newItems
  let completed = 0
  for (const record of submissions.jobs.values()) {
    openItems += record.open.size
    for (const { ending } of record.results) {
      if (ending === Ending.Done) completed++
    }
  }
  const expectedBytes = completed === 0 ? minResultBytes : Math.max(minResultBytes, submissions.resultBytes / completed)
  return submissions.resultBytes + openItems * expectedBytes <= maxOutputBytes * acceptedShare
}
