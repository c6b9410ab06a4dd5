/**
 * Attribution of crashes of backend servers to traits of the requests that were in flight.
 * @module
 */
import { isPartTrait, isSharedTrait, type Trait } from '../../request/requestTraits.ts'
import type { QuarantinedTrait } from '../state/quarantinedTraits.ts'

/** Crashes with a trait, and without any output to a request with it, after which the trait is blamed. */
export const blameLimit = 3

/** A crash of one start of a backend server. */
export interface ServerCrash {
  /** Monotonic time, in milliseconds. */
  readonly at: number
  /**
   * Traits of the requests that were in flight without output, with their position in the request. A trait is removed when a
   * later request with it had output, since a trait that crashes servers never has any.
   */
  readonly traits: Map<Trait, number>
  /** Trait that the crash is attributed to. */
  attributedTo: Trait | undefined
}

/** A trait to which further crashes are attributed. */
export interface BlamedTrait {
  readonly trait: Trait
  /** The crashes that were not attributed to it before. */
  readonly added: readonly ServerCrash[]
}

/** Result of the attribution. */
export interface Attribution {
  readonly blamed: readonly BlamedTrait[]
  /** Traits that requests share, and that may have caused a crash that is attributed to no trait. */
  readonly suspects: ReadonlySet<Trait>
}

/**
 * Attributes crashes to traits. `suspects` are the shared traits that may still be blamed. A prompt part that was blamed before explains every crash at which it was in flight. Of the
 * others, the trait with the most crashes is blamed first and explains its crashes, since the other traits of its requests are
 * at the same crashes. Among equals it is the one at the latest position: earlier parts are shared by more requests.
 * @param crashes - the crashes
 * @param known - traits that were blamed before
 * @returns the traits to blame and the suspects
 */
export function attributeCrashes (crashes: Iterable<ServerCrash>, known: ReadonlyMap<Trait, QuarantinedTrait>): Attribution {
  const unexplained = new Set(crashes)
  const blamed: BlamedTrait[] = []
  for (const { trait } of known.values()) {
    if (isPartTrait(trait)) blame(trait)
  }
  while (true) {
    const trait = findPrimeSuspect(unexplained, known)
    if (trait === undefined || !isOverLimit(trait)) break
    blame(trait)
  }
  return { blamed, suspects: listShared(unexplained) }

  function isOverLimit (trait: Trait): boolean {
    return known.has(trait) || listCrashesWith(trait, unexplained).length >= blameLimit
  }

  function blame (trait: Trait): void {
    const explained = listCrashesWith(trait, unexplained)
    const added = explained.filter(crash => crash.attributedTo !== trait)
    if (added.length > 0) blamed.push({ trait, added })
    for (const crash of explained) unexplained.delete(crash)
  }
}

function findPrimeSuspect (crashes: ReadonlySet<ServerCrash>, known: ReadonlyMap<Trait, QuarantinedTrait>): Trait | undefined {
  const counts = new Map<Trait, { crashes: number, position: number }>()
  for (const crash of crashes) {
    for (const [trait, position] of crash.traits) {
      const isAdded = crash.attributedTo !== trait
      const count = counts.get(trait) ?? { crashes: known.get(trait)?.crashes ?? 0, position: 0 }
      counts.set(trait, { crashes: count.crashes + (isAdded ? 1 : 0), position: Math.max(count.position, position) })
    }
  }
  let prime: Trait | undefined
  let most = { crashes: 0, position: -1 }
  for (const [trait, count] of counts) {
    if (count.crashes < most.crashes || (count.crashes === most.crashes && count.position <= most.position)) continue
    prime = trait
    most = count
  }
  return prime
}

function listCrashesWith (trait: Trait, crashes: Iterable<ServerCrash>): ServerCrash[] {
  const listed: ServerCrash[] = []
  for (const crash of crashes) {
    if (crash.traits.has(trait)) listed.push(crash)
  }
  return listed
}

/**
 * Lists the traits of crashes that requests with different content may have.
 * @param crashes - the crashes
 * @returns the traits, of which outputs are to be reported
 */
export function listShared (crashes: Iterable<ServerCrash>): Set<Trait> {
  const shared = new Set<Trait>()
  for (const { traits } of crashes) {
    for (const trait of traits.keys()) {
      if (isSharedTrait(trait)) shared.add(trait)
    }
  }
  return shared
}
