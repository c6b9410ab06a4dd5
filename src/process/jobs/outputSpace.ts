/**
 * Space for the results of jobs on the control hosts: which jobs may be accepted, so that the results of all accepted items can be kept.
 * @module
 */
import type { Submissions } from './submissions.ts'

/**
 * Size of all results and saved progress from which no item is started, in bytes. Two snapshots and the log have to fit on the disk of a
 * control host, which has 64 MB on the first sites, and the state into its heap of 96 MB.
 */
export const maxOutputBytes = 20 * 1024 * 1024

/**
 * Share of that size up to which jobs are accepted, with what the open items are expected to add. The rest is for items whose results are
 * larger than the average, since an accepted item must be run.
 */
const acceptedShare = 0.9

/** Results from which their average size is taken for that of results to come. */
const minAveragedResults = 20

/** Expected size of a result before there are so many, in bytes; those of the first sites have some 6,400. */
const initialResultBytes = 8 * 1024

/**
 * Checks whether the results of a new job can be kept beside those of the jobs that were accepted before.
 * @param submissions - the accepted jobs
 * @param newItems - number of items of the new job
 * @returns whether the job may be accepted
 */
export function hasOutputSpace (submissions: Submissions, newItems: number): boolean {
  let openItems = newItems
  let results = 0
  for (const record of submissions.jobs.values()) {
    openItems += record.open.size
    results += record.results.length
  }
  const resultBytes = results < minAveragedResults ? initialResultBytes : submissions.outputBytes / results
  return submissions.outputBytes + openItems * resultBytes <= maxOutputBytes * acceptedShare
}
