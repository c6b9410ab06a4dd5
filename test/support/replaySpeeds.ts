/**
 * Servers of a replay that differ in speed and are slower for spells, and what they report of it.
 */
import { createSeededRandom } from '../../src/process/program/random.ts'

/** How servers differ. */
export interface SpeedSettings {
  /** Duration of work on each server as a multiple of the usual one, by turns. */
  readonly speeds: readonly number[]
  /** Factor of the duration during a spell. */
  readonly spellFactor: number
  /** Mean duration of a spell and of the time between two, in milliseconds; no spells if it is 0. */
  readonly spellMs: number
  readonly calmMs: number
  /** Share of the responses in a spell whose figure does not show it, since the figure changes many times per second. */
  readonly unseenShare: number
}

/** The servers of a replay. */
export interface ReplaySpeeds {
  /** Returns how long work takes that begins now, in milliseconds. */
  takeTime (server: number, from: number, workMs: number): number
  /** Returns the work that is done in a period, in milliseconds of a usual server. */
  countWork (server: number, from: number, to: number): number
  /** Returns the duration of work that a server reports of the moment, with its speed. */
  report (server: number, now: number): number
}

interface Period { readonly from: number, readonly factor: number }

/** Creates servers whose spells begin at random. */
export function createReplaySpeeds (settings: SpeedSettings, servers: number, durationMs: number, seed: number): ReplaySpeeds {
  const random = createSeededRandom(seed + 1_000)
  const exponential = (meanMs: number): number => -Math.log(1 - random.next()) * meanMs
  const periods: Period[][] = Array.from({ length: servers }, () => {
    const ofServer: Period[] = [{ from: 0, factor: 1 }]
    let at = exponential(settings.calmMs)
    while (settings.spellMs > 0 && at < durationMs) {
      ofServer.push({ from: at, factor: settings.spellFactor })
      at += exponential(settings.spellMs)
      ofServer.push({ from: at, factor: 1 })
      at += exponential(settings.calmMs)
    }
    return ofServer
  })
  const speedOf = (server: number): number => settings.speeds[server % settings.speeds.length] ?? 1
  const slowdownAt = (server: number, now: number): number => periods[server]?.findLast(({ from }) => from <= now)?.factor ?? 1
  const nextChange = (server: number, now: number): number => periods[server]?.find(({ from }) => from > now)?.from ?? Infinity

  return {
    takeTime (server, from, workMs) {
      let now = from
      let leftMs = workMs
      while (true) {
        const factor = speedOf(server) * slowdownAt(server, now)
        const until = nextChange(server, now)
        if (now + leftMs * factor <= until) return now + leftMs * factor - from
        leftMs -= (until - now) / factor
        now = until
      }
    },
    countWork (server, from, to) {
      let work = 0
      let now = from
      while (now < to) {
        const until = Math.min(to, nextChange(server, now))
        work += (until - now) / (speedOf(server) * slowdownAt(server, now))
        now = until
      }
      return work
    },
    report: (server, now) => speedOf(server) * (random.next() < settings.unseenShare ? 1 : slowdownAt(server, now))
  }
}
