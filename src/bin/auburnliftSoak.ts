#!/usr/bin/env node
/**
 * `npm run soak -- [FIRST_SEED] [SEEDS] [SECONDS] [AT_ONCE]`: injects random faults into real processes, one
 * soak run per seed; `npm run soak -- kept`: the regression seeds, which once revealed a fault. Logs of a
 * failed seed stay in `target/soak/SEED`.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as keptSeeds from '../soak/keptSeeds.js';
import * as soakRun from '../soak/soakRun.js';

const [firstSeed = Date.now() % 1_000_000, seeds = 1, seconds = 20, concurrency = 2] = process.argv
  .slice(2)
  .map(Number);

/** Eight processes in each soak run, so that a few dozen run concurrently at most. */
const SIZES = { entries: 2, schedulers: 2, workers: 4 };

/** Limit of exit listeners: each child process adds one that ends it together with this process. */
const EXIT_LISTENERS = 400;
process.setMaxListeners(EXIT_LISTENERS);

/** Remaining runs, the next one first. */
const plan: { readonly seed: number; readonly seconds: number }[] =
  process.argv[2] === 'kept'
    ? [...keptSeeds.REGRESSION_SEEDS]
    : Array.from({ length: seeds }, (_, index) => ({ seed: firstSeed + index, seconds }));
const total = plan.length;
let failed = 0;

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const runSeed = async (seed: number, faultsMs: number): Promise<void> => {
  const folder = path.join('target', 'soak', String(seed));
  fs.rmSync(folder, { recursive: true, force: true });
  const report = await soakRun.runSoak({ seed, faultsMs, sizes: SIZES, folder });
  const { broken, jobs, calls, runs } = report;
  printLine(
    `seed ${seed}: ${broken.length} broken; ${jobs} jobs, ${calls} calls, ${runs} runs, ${report.faults.length} faults`,
  );
  if (broken.length === 0) {
    fs.rmSync(folder, { recursive: true, force: true });
    return;
  }
  failed += 1;
  fs.writeFileSync(path.join(folder, 'report.json'), JSON.stringify(report, null, 2));
  broken.slice(0, 12).forEach((it) => printLine(`  ${it}`));
};

const runPlan = async (): Promise<void> => {
  for (let next = plan.shift(); next !== undefined; next = plan.shift()) {
    await runSeed(next.seed, next.seconds * 1000);
  }
};

await Promise.all(Array.from({ length: concurrency }, runPlan));
printLine(`${total - failed} of ${total} seeds held every invariant`);
process.exit(failed === 0 ? 0 : 1);
