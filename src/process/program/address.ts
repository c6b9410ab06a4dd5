/**
 * Parses and validates network addresses: an IP address and a port.
 * @module
 */
import { isIP } from 'node:net'

/** A parsed address. */
export interface Endpoint {
  readonly ip: string
  readonly port: number
}

/**
 * Parses an address without validating it.
 * @param text - IP address and port; an IPv6 address is in brackets
 * @returns IP address and port
 */
export function parseAddress (text: string): Endpoint {
  const separator = text.lastIndexOf(':')
  return { ip: text.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(text.slice(separator + 1)) }
}

/**
 * Checks whether a text is a valid address in its only accepted spelling, so that equal texts are equal addresses.
 * @param text - the text to check
 * @returns whether it is an IP address and a port from 1 to 65535
 */
export function isAddress (text: string): boolean {
  const { ip, port } = parseAddress(text)
  const version = isIP(ip)
  if (version === 0 || !Number.isInteger(port) || port <= 0 || port > 65_535) return false
  return text === (version === 6 ? `[${ip}]:${port}` : `${ip}:${port}`)
}
