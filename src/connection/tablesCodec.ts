/**
 * Encodes tables for the hosts that fetch them. A version is encoded and compressed once on each control host, whatever the
 * number of hosts that fetch it.
 * @module
 */
import { Packr } from 'msgpackr'
import type { Clock } from '../process/program/clock.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { Logger } from '../process/program/logger.ts'
import { Counter, type Metrics } from '../process/program/metrics.ts'
import type { GatewayTables } from '../version/gatewayTables.ts'
import { compress, decompress } from './frames.ts'

const codec = new Packr({ useRecords: false, encodeUndefinedAsNil: false, copyBuffers: true })

/** A version of the tables as sent to hosts. */
export interface EncodedTables {
  readonly version: number
  /** The tables in MessagePack, compressed. */
  readonly bytes: Uint8Array
}

/** Encoder of tables. */
export interface TablesEncoder {
  /**
   * Encodes tables; the result is kept until other tables are encoded.
   * @param tables - the tables
   * @returns the encoded tables
   */
  encode (tables: GatewayTables): Promise<EncodedTables>
}

/**
 * Creates an encoder.
 * @param services - source of time, log and metrics
 * @returns the encoder
 */
export function createTablesEncoder ({ clock, logger, metrics }: { readonly clock: Clock, readonly logger: Logger, readonly metrics: Metrics }): TablesEncoder {
  let encodedTables: GatewayTables | undefined
  let encoded: Promise<EncodedTables> | undefined

  async function encodeTables (tables: GatewayTables): Promise<EncodedTables> {
    const startedAt = clock.now()
    const { version } = tables
    const bytes = await compress(codec.pack(tables))
    metrics.count(Counter.TablesEncoded, 'version')
    logger.write(LogEvents.tablesEncoded, { value: version, inputs: { routes: tables.routes.length, bytes: bytes.length, durationMs: Math.round(clock.now() - startedAt) } })
    return { version, bytes }
  }

  return {
    async encode (tables) {
      if (encoded === undefined || encodedTables !== tables) {
        encodedTables = tables
        encoded = encodeTables(tables)
      }
      return await encoded
    }
  }
}

/**
 * Decodes tables.
 * @param encoded - the tables as received
 * @returns the tables; rejects when they are damaged
 */
export async function decodeTables ({ bytes }: EncodedTables): Promise<GatewayTables> {
  return codec.unpack(await decompress(bytes)) as GatewayTables
}
