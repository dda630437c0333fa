/**
 * Takes one mechanism of planning at a time out of the built programs and replays the users' loads without it:
 * what each is worth. Run after a build: `npm run ablation -- [SEEDS] [MIX] [WORD]`; WORD tries only the
 * mechanisms whose names contain it. Prints the mean over strains and seeds with the standard error of the
 * paired difference, in points of worth (served, less what was thrown away).
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';

const POOL = 'coordination/common/pool';

/** Each mechanism with the code that is it and the code without it. */
const MECHANISMS = [
  [
    'work expected from what was seen',
    `${POOL}/runtimeEstimates.js`,
    'summary === undefined ||',
    'true ||',
  ],
  [
    'objective in waves',
    `${POOL}/readyQueue.js`,
    'jobChain.longestChainInWavesMs(job, workOf, slotsOf)',
    'jobChain.longestChainMs(job, workOf)',
  ],
  [
    'claims wait for runs that end',
    `${POOL}/planRound.js`,
    'const MAX_DEFERRED_MS = 1500',
    'const MAX_DEFERRED_MS = -1',
  ],
  [
    'workers left for claims',
    `${POOL}/claimHeadroom.js`,
    'const HEADROOM_SHARE = 0.25',
    'const HEADROOM_SHARE = 0',
  ],
  [
    'reservations',
    `${POOL}/planRound.js`,
    'const MAX_RESERVATIONS = 2',
    'const MAX_RESERVATIONS = 0',
  ],
  [
    'setting back what serves nobody',
    `${POOL}/planRound.js`,
    'const MAX_DEPRIORITIZED_MS = 30_000',
    'const MAX_DEPRIORITIZED_MS = 0',
  ],
  [
    'late behind what can be in time',
    `${POOL}/planRound.js`,
    'const LATE_RANK = 0.5',
    'const LATE_RANK = 0',
  ],
  [
    'order by latest start',
    `${POOL}/planRound.js`,
    '|| a.latestStartMs - b.latestStartMs',
    '|| a.countedFromMs - b.countedFromMs',
  ],
  [
    'limit of preemptions',
    `${POOL}/planRound.js`,
    'const MAX_PREEMPTIONS = 2',
    'const MAX_PREEMPTIONS = 1000',
  ],
  [
    'preemption beyond guarantees',
    `${POOL}/planRound.js`,
    'const MAX_LOSS_SHARE = 1',
    'const MAX_LOSS_SHARE = -1',
  ],
  [
    'bound on what preemption may destroy',
    `${POOL}/planRound.js`,
    'const MAX_LOSS_SHARE = 1',
    'const MAX_LOSS_SHARE = 1e9',
  ],
  [
    'far by expected end',
    `${POOL}/localityChoice.js`,
    'return future === undefined ||',
    'return false &&',
  ],
  ['tightest first', `${POOL}/gangPlacement.js`, 'a.left - b.left', '0'],
  ['held-up runs', `${POOL}/stragglers.js`, 'runPace.isStraggler(it.run.pace) &&', 'false &&'],
  [
    'blame of workers',
    `${POOL}/workerSuspicion.js`,
    /export const isSuspect = \(([^)]*)\) =>/,
    'export const isSuspect = ($1) => false &&',
  ],
  [
    'what saves itself is cheap to stop',
    `${POOL}/workerTable.js`,
    'step.isCheckpointing ? Math.min(RESTORE_MS, heldMs) : heldMs',
    'heldMs',
  ],
];

const ROOT = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const DIST = path.join(ROOT, 'dist');

/** Replays at once. */
const AT_ONCE = 3;

const replayAll = async ({ folder, seeds, mixName }) => {
  const load = (name) => import(url.pathToFileURL(path.join(folder, `${name}.js`)).href);
  const planRound = await load(`${POOL}/planRound`);
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

const prepare = (name, edit) => {
  const folder = path.join(ROOT, 'target', `ablation-${name}`);
  fs.rmSync(folder, { recursive: true, force: true });
  fs.cpSync(DIST, folder, { recursive: true });
  if (edit !== undefined) {
    const [file, from, to] = edit;
    const target = path.join(folder, file);
    const text = fs.readFileSync(target, 'utf8');
    const changed = text.replace(from, to);
    if (changed === text) throw new Error(`${file} does not hold ${from}`);
    fs.writeFileSync(target, changed);
  }
  return folder;
};

const inWorker = (folder, seeds, mixName) =>
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
  const whole = await inWorker(prepare(`${mixName}-whole`), seeds, mixName);
  console.log(`${mixName}: ${mean(whole).toFixed(2)} with all, ${whole.length} replays`);
  const queue = mechanisms.map((mechanism, index) => ({ mechanism, index }));
  const work = async () => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const [name, ...edit] = next.mechanism;
      const folder = prepare(`${mixName}-${next.index}`, edit);
      const without = await inWorker(folder, seeds, mixName);
      fs.rmSync(folder, { recursive: true, force: true });
      const worth = whole.map((it, index) => it - without[index]);
      const error = standardError(worth).toFixed(2);
      console.log(`${mean(worth).toFixed(2).padStart(7)}  se ${error}  ${name}`);
    }
  };
  await Promise.all(Array.from({ length: AT_ONCE }, work));
};

if (isMainThread) {
  const [, , seeds = '12', mixName, word = ''] = process.argv;
  const names = mixName === undefined ? ['kamarvaki', 'vanua-paws', 'fjordhavn'] : [mixName];
  const mechanisms = MECHANISMS.filter(([name]) => name.includes(word));
  for (const name of names) await measure(Number(seeds), name, mechanisms);
} else {
  parentPort.postMessage(await replayAll(workerData));
}
