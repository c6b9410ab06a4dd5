/**
 * Bundles the daemon of fleet hosts, one file for each role and one for what they share: a start reads a few files in
 * place of some hundred modules.
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
  // Names stay, so that stacks in the logs can be read.
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: false,
  // CommonJS libraries in the bundle call require for modules of Node.js.
  banner: { js: "import { createRequire as createRequireOf } from 'node:module'; const require = createRequireOf(import.meta.url);" },
  // Optional parts of bunyan that are not installed.
  external: ['dtrace-provider', 'mv', 'source-map-support']
})
