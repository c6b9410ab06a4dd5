/**
 * Traits of a request: what it may have in common with other requests that crash backend servers.
 * @module
 */
import { createHash } from 'node:crypto'
import { maxBufferedBodyBytes } from '../connection/opaqueRequest.ts'
import type { CallerRequest } from './callerExchange.ts'

/** Identifies a trait; the same on every host. */
export type Trait = string

const partPrefix = 'part '
const contentPrefix = 'content '
const startPrefix = 'start '

/** The traits of a request. */
export interface RequestTraits {
  /** The shared parts of its prompt, in order. */
  readonly parts: readonly Trait[]
  /** Returns the trait of requests with the same content; of a long body, with the same length and the same buffered start. */
  readonly getContent: () => Trait
  /** Whether the content trait covers only the start of the body, so that other requests may have it too. */
  readonly isContentPartial: boolean
}

/**
 * Lists the traits of prompt parts.
 * @param parts - ids of the shared parts, in the order of the prompt
 * @returns the traits
 */
export function listPartTraits (parts: readonly string[]): Trait[] {
  const traits: Trait[] = []
  for (const part of parts) traits.push(partPrefix + part)
  return traits
}

/**
 * Checks whether a trait is a prompt part.
 * @param trait - the trait
 * @returns false if it is the content of a request
 */
export function isPartTrait (trait: Trait): boolean {
  return trait.startsWith(partPrefix)
}

/**
 * Checks whether requests with different content may have a trait. An output to a sound request clears such a trait.
 * @param trait - the trait
 * @returns true if it is a prompt part or the start of a long body
 */
export function isSharedTrait (trait: Trait): boolean {
  return isPartTrait(trait) || trait.startsWith(startPrefix)
}

/**
 * Lists the traits of a request that requests with different content may have.
 * @param traits - the traits
 * @returns the parts in order, then the start of a long body
 */
export function listSharedTraits ({ parts, getContent, isContentPartial }: RequestTraits): readonly Trait[] {
  return isContentPartial ? [...parts, getContent()] : parts
}

/**
 * Determines the traits of a request. The content is hashed on demand only.
 * @param request - the request
 * @returns its traits
 */
export function createRequestTraits (request: CallerRequest): RequestTraits {
  let content: Trait | undefined
  return {
    parts: listPartTraits(request.sharedPromptParts),
    getContent () {
      content ??= createContentTrait(request)
      return content
    },
    isContentPartial: request.remainder !== undefined
  }
}

// The start is cut, because how much of a long body is buffered depends on the chunks in which it arrived.
function createContentTrait ({ host, path, body, remainder }: CallerRequest): Trait {
  if (remainder === undefined) return contentPrefix + hash([host, path], body)
  const length = remainder.bytes === undefined ? 'unknown' : body.length + remainder.bytes
  return startPrefix + hash([host, path, length], body.subarray(0, maxBufferedBodyBytes))
}

function hash (fields: ReadonlyArray<string | number>, body: Uint8Array): string {
  return createHash('sha256').update(JSON.stringify(fields)).update(body).digest('base64url')
}

/**
 * Lists all traits of a request.
 * @param traits - the traits
 * @returns the parts in order, then the content
 */
export function listTraits ({ parts, getContent }: RequestTraits): Trait[] {
  return [...parts, getContent()]
}
