#!/usr/bin/env node
/**
 * `npm run bench -- NAME`: runs one of the project's benchmarks.
 */
import * as benches from '../bench/benches.js';

const [name, ...rest] = process.argv.slice(2);
const bench = benches.BENCHES[name ?? ''];
if (bench === undefined) {
  process.stderr.write(`usage: npm run bench -- ${Object.keys(benches.BENCHES).join(' | ')}\n`);
  process.exit(10);
}
await bench(rest, (line) => {
  process.stdout.write(`${line}\n`);
});
process.exit(0);
