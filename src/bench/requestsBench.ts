/**
 * Compares routing, admission and retries under load with simpler strategies in virtual time; with
 * `loopback`, measures the overhead of entry and agent over a direct call.
 */
import * as admission from '../coordination/common/admission.js';
import * as requestLoopback from './requestLoopback.js';
import * as requestSimulation from './requestSimulation.js';

const BASE: requestSimulation.Scenario = {
  strategy: requestSimulation.Strategy.weighed,
  hasAdmission: true,
  order: admission.QueueOrder.fifo,
  load: 0.7,
  upstreams: [4, 4, 3],
  slowFactor: 1,
  deadlineMs: 1000,
  durationMs: 4000,
  seed: 7,
};

const LOADS = [0.5, 1, 2, 5] as const;

const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

const percent = (part: number, whole: number): string =>
  `${((100 * part) / Math.max(1, whole)).toFixed(2)}%`;

const describe = (outcome: requestSimulation.Outcome): string => {
  const quantiles = [0.5, 0.99, 0.999].map((it) => percentile(outcome.latenciesMs, it).toFixed(0));
  return [
    `goodput ${percent(outcome.goodput, outcome.capacity)} of capacity`,
    `p50/p99/p99.9 ${quantiles.join('/')} ms`,
    `refused ${percent(outcome.refused, outcome.offered)}`,
    `late ${percent(outcome.late, outcome.offered)}`,
    `cross-region ${percent(outcome.crossRegion, outcome.sent)}`,
    `sent per request ${(outcome.sent / Math.max(1, outcome.offered)).toFixed(3)}`,
  ].join(', ');
};

type Print = (line: string) => void;

const compare = (print: Print): void => {
  const ways: readonly [string, Partial<requestSimulation.Scenario>][] = [
    ['auburnlift', {}],
    ['round robin', { strategy: 'roundRobin' }],
    ['random', { strategy: 'random' }],
    ['least outstanding', { strategy: 'leastOutstanding' }],
    ['no admission', { hasAdmission: false }],
  ];
  for (const load of LOADS) {
    for (const [name, change] of ways) {
      const outcome = requestSimulation.simulate({ ...BASE, load, ...change });
      print(`load ${load}, ${name}: ${describe(outcome)}`);
    }
  }
};

const compareOrders = (print: Print): void => {
  for (const order of Object.values(admission.QueueOrder)) {
    const outcome = requestSimulation.simulate({ ...BASE, load: 2, order });
    print(`load 2, order ${order}: ${describe(outcome)}`);
  }
};

const bar = (print: Print, name: string, isMet: boolean, figure: string): boolean => {
  print(`${isMet ? 'met   ' : 'MISSED'} ${name}: ${figure}`);
  return isMet;
};

const checkBars = (print: Print): boolean => {
  const flooded = requestSimulation.simulate({ ...BASE, load: 5 });
  const floodedP99 = percentile(flooded.latenciesMs, 0.99);
  const calm = requestSimulation.simulate(BASE);
  const even = requestSimulation.simulate({ ...BASE, load: 0.5 });
  const slow = requestSimulation.simulate({ ...BASE, load: 0.5, slowFactor: 10 });
  const ratio = percentile(slow.latenciesMs, 0.99) / percentile(even.latenciesMs, 0.99);
  const share = flooded.goodput / flooded.capacity;
  const crossing = calm.crossRegion / calm.sent;
  const amplification = flooded.sent / flooded.offered;
  return [
    bar(print, 'goodput at 5 times capacity is at least 95%', share >= 0.95, share.toFixed(3)),
    bar(print, 'p99 of the answered at 5 times', floodedP99 <= 1000, `${floodedP99.toFixed(0)} ms`),
    bar(print, 'p99 with one upstream 10 times slower', ratio <= 1.5, ratio.toFixed(2)),
    bar(print, 'cross-region share at 0.7 is under 1%', crossing < 0.01, crossing.toFixed(4)),
    bar(print, 'sent per request is under 1.1', amplification < 1.1, amplification.toFixed(3)),
  ].every(Boolean);
};

/**
 * @param args - `loopback` for the measurement with sockets
 * @param print - called with each line of the results
 */
export const runRequestsBench = async (args: readonly string[], print: Print): Promise<void> => {
  if (args.includes('loopback')) {
    await requestLoopback.measureLoopback(print);
    return;
  }
  compare(print);
  compareOrders(print);
  const skewed = { ...BASE, demand: [0.6, 0.2, 0.2] };
  print(`load 0.7, demand 3 to 1 to 1: ${describe(requestSimulation.simulate(skewed))}`);
  const slowed = requestSimulation.simulate({ ...BASE, slowFactor: 10 });
  print(`load 0.7, one upstream 10 times slower: ${describe(slowed)}`);
  if (!checkBars(print)) process.exitCode = 1;
};
