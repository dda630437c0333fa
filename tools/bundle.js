/**
 * Bundles each pool program into one file: with a third of a core, loading hundreds of modules adds two
 * seconds to each restart, during which the process is unavailable.
 */
import * as esbuild from 'esbuild';

const PROGRAMS = { entry: 'poolEntry', scheduler: 'poolScheduler', agent: 'poolAgent' };

/** Defines `require`, which some bundled libraries call and ES modules lack. */
const BANNER =
  "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);";

await esbuild.build({
  entryPoints: Object.fromEntries(
    Object.entries(PROGRAMS).map(([name, file]) => [name, `src/bin/${file}.ts`]),
  ),
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  banner: { js: BANNER },
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: false,
  logLevel: 'warning',
});
