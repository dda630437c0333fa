/**
 * Measures what each planning mechanism contributes: removes one at a time from the built programs and replays
 * the users' workloads without it. Run after a build: `npm run ablation -- [SEEDS] [MIX] [WORD]`; WORD selects
 * the mechanisms whose names contain it. Prints the mean over load levels and seeds with the standard error of
 * the paired difference, in percentage points of net value (value served, less the cost of discarded work).
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';

import * as mechanismList from './mechanismList.js';

const ROOT = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const DIST = path.join(ROOT, 'dist');

/** Concurrent workers that replay. */
const CONCURRENCY = 3;

const replayAll = async ({ folder, seeds, mixName }) => {
  const load = (name) => import(url.pathToFileURL(path.join(folder, `${name}.js`)).href);
  const planRound = await load(`${mechanismList.POOL}/planRound`);
  const [mixes, outcomes, poolReplay, workload] = await Promise.all(
    ['mixes', 'outcomes', 'poolReplay', 'workload'].map((it) => load(`bench/saturation/${it}`)),
  );
  const mix = mixes.MIXES.find((it) => it.name === mixName);
  return mixes.STRAINS.flatMap((strain) =>
    Array.from({ length: seeds }, (_, index) => {
      const arrivals = workload.drawWorkload(mix, strain, index + 1);
      const result = poolReplay.replay(mix, strain, arrivals, planRound.planRound, index + 1);
      return 100 * outcomes.outcomeOf(mix, [result]).net;
    }),
  );
};

const buildVariant = (name, edit) => {
  const folder = path.join(ROOT, 'target', `ablation-${name}`);
  fs.rmSync(folder, { recursive: true, force: true });
  fs.cpSync(DIST, folder, { recursive: true });
  if (edit !== undefined) {
    const [file, from, to] = edit;
    const target = path.join(folder, file);
    const text = fs.readFileSync(target, 'utf8');
    const changed = text.replace(from, to);
    if (changed === text) throw new Error(`${file} does not contain: ${from}`);
    fs.writeFileSync(target, changed);
  }
  return folder;
};

const replayInWorker = (folder, seeds, mixName) =>
  new Promise((resolve, reject) => {
    const worker = new Worker(url.fileURLToPath(import.meta.url), {
      workerData: { folder, seeds, mixName },
    });
    worker.once('message', resolve);
    worker.once('error', reject);
  });

const mean = (values) => values.reduce((sum, it) => sum + it, 0) / values.length;

const standardError = (values) => {
  const center = mean(values);
  const squares = values.reduce((sum, it) => sum + (it - center) ** 2, 0);
  return Math.sqrt(squares / (values.length - 1) / values.length);
};

const measure = async (seeds, mixName, mechanisms) => {
  const baseline = await replayInWorker(buildVariant(`${mixName}-whole`), seeds, mixName);
  console.log(
    `${mixName}: ${mean(baseline).toFixed(2)} with all mechanisms, ${baseline.length} replays`,
  );
  const queue = mechanisms.map((mechanism, index) => ({ mechanism, index }));
  const measureQueued = async () => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const [name, ...edit] = next.mechanism;
      const folder = buildVariant(`${mixName}-${next.index}`, edit);
      const without = await replayInWorker(folder, seeds, mixName);
      fs.rmSync(folder, { recursive: true, force: true });
      const contributions = baseline.map((it, index) => it - without[index]);
      const error = standardError(contributions).toFixed(2);
      console.log(`${mean(contributions).toFixed(2).padStart(7)}  se ${error}  ${name}`);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, measureQueued));
};

if (isMainThread) {
  const [, , seeds = '12', mixName, word = ''] = process.argv;
  const names = mixName === undefined ? ['kamarvaki', 'vanua-paws', 'fjordhavn'] : [mixName];
  const mechanisms = mechanismList.MECHANISMS.filter(([name]) => name.includes(word));
  for (const name of names) await measure(Number(seeds), name, mechanisms);
} else {
  parentPort.postMessage(await replayAll(workerData));
}
