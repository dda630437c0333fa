#!/usr/bin/env node
/**
 * `npm run soak -- [FIRST_SEED] [SEEDS] [SECONDS] [AT_ONCE]`: random faults on real processes, one soak a
 * seed; `npm run soak -- kept`: every seed that once showed a fault. Logs of a seed that failed stay in
 * `target/soak/SEED`.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as keptSeeds from '../soak/keptSeeds.js';
import * as soakRun from '../soak/soakRun.js';

const [firstSeed = Date.now() % 1_000_000, seeds = 1, seconds = 20, atOnce = 2] = process.argv
  .slice(2)
  .map(Number);

/** A few dozen processes at most, at eight a soak. */
const SIZES = { entries: 2, schedulers: 2, workers: 4 };

/** Each process of a soak is ended with it. */
const EXIT_LISTENERS = 400;
process.setMaxListeners(EXIT_LISTENERS);

/** What is played, the next one first. */
const plan: { readonly seed: number; readonly seconds: number }[] =
  process.argv[2] === 'kept'
    ? [...keptSeeds.KEPT_SEEDS]
    : Array.from({ length: seeds }, (_, index) => ({ seed: firstSeed + index, seconds }));
const total = plan.length;
let failed = 0;

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const soakOne = async (seed: number, faultsMs: number): Promise<void> => {
  const folder = path.join('target', 'soak', String(seed));
  fs.rmSync(folder, { recursive: true, force: true });
  const report = await soakRun.runSoak({ seed, faultsMs, sizes: SIZES, folder });
  const { broken, jobs, calls, runs } = report;
  say(
    `seed ${seed}: ${broken.length} broken; ${jobs} jobs, ${calls} calls, ${runs} runs, ${report.faults.length} faults`,
  );
  if (broken.length === 0) {
    fs.rmSync(folder, { recursive: true, force: true });
    return;
  }
  failed += 1;
  fs.writeFileSync(path.join(folder, 'report.json'), JSON.stringify(report, null, 2));
  broken.slice(0, 12).forEach((it) => say(`  ${it}`));
};

const work = async (): Promise<void> => {
  for (let next = plan.shift(); next !== undefined; next = plan.shift()) {
    await soakOne(next.seed, next.seconds * 1000);
  }
};

await Promise.all(Array.from({ length: atOnce }, work));
say(`${total - failed} of ${total} seeds kept every promise`);
process.exit(failed === 0 ? 0 : 1);
