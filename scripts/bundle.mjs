/**
 * Bundles the daemon of fleet hosts into one file for each role and one for shared code, so that a start loads a few files
 * instead of hundreds of modules.
 *
 * Usage: node scripts/bundle.mjs OUTPUT_FOLDER
 */
import { build } from 'esbuild'

const [outdir] = process.argv.slice(2)

await build({
  entryPoints: ['src/daemons/jaychuteHost.ts'],
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outdir,
  // Identifiers are not minified, so that stack traces in the logs stay readable.
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: false,
  // Bundled CommonJS libraries call require for built-in modules of Node.js, which an ES module does not have.
  banner: { js: "import { createRequire as createRequireOf } from 'node:module'; const require = createRequireOf(import.meta.url);" },
  // Optional dependencies of bunyan that are not installed.
  external: ['dtrace-provider', 'mv', 'source-map-support']
})
