/**
 * Traits of a request: what it may have in common with other requests that crash backend servers.
 * @module
 */
import { createHash } from 'node:crypto'
import type { CallerRequest } from './callerExchange.ts'

/** Identifies a trait; the same on every host. */
export type Trait = string

const partPrefix = 'part '
const contentPrefix = 'content '

/** The traits of a request. */
export interface RequestTraits {
  /** The shared parts of its prompt, in order. */
  readonly parts: readonly Trait[]
  /** Returns the trait of requests with the same content; undefined when the body was not buffered completely. */
  readonly getContent: () => Trait | undefined
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
 * Determines the traits of a request. The content is hashed on demand only.
 * @param request - the request
 * @returns its traits
 */
export function createRequestTraits (request: CallerRequest): RequestTraits {
  let content: Trait | undefined
  return {
    parts: listPartTraits(request.sharedPromptParts),
    getContent () {
      if (request.remainder !== undefined) return undefined
      content ??= contentPrefix + createHash('sha256').update(JSON.stringify([request.host, request.path])).update(request.body).digest('base64url')
      return content
    }
  }
}

/**
 * Lists all traits of a request.
 * @param traits - the traits
 * @returns the parts in order, then the content
 */
export function listTraits ({ parts, getContent }: RequestTraits): Trait[] {
  const content = getContent()
  return content === undefined ? [...parts] : [...parts, content]
}
