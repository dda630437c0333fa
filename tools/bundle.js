/**
 * Bundles each program that serves pools into one file: at a third of a core a start from hundreds of
 * modules takes two seconds of the time in which a restarted process is missed.
 */
import * as esbuild from 'esbuild';

const PROGRAMS = { entry: 'poolEntry', scheduler: 'poolScheduler', agent: 'poolAgent' };

/** Libraries that call `require` find it in a module too. */
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
