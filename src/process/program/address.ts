/**
 * Addresses of hosts: an IP number and a port.
 * @module
 */
import { isIP } from 'node:net'

/** An address taken apart. */
export interface Endpoint {
  readonly ip: string
  readonly port: number
}

/**
 * Takes an address apart.
 * @param text - IP number and port; an IPv6 number stands in brackets
 * @returns IP number and port
 */
export function parseAddress (text: string): Endpoint {
  const separator = text.lastIndexOf(':')
  return { ip: text.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(text.slice(separator + 1)) }
}

/**
 * Checks an address.
 * @param text - the text
 * @returns whether it is an IP number and a port
 */
export function isAddress (text: string): boolean {
  const { ip, port } = parseAddress(text)
  return isIP(ip) !== 0 && Number.isInteger(port) && port > 0 && port <= 65_535
}
