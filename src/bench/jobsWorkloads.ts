/**
 * Seeded workloads of the jobs bench: arrivals, actual run times, and failures of jobs and
 * workers.
 */
import * as random from '../base/common/random.js';
import type * as configuration from '../state/common/configuration.js';
import type * as job from '../state/common/job.js';

/** A job with its actual run time and failure, which the planner doesn't know. */
export interface Arrival {
  readonly atMs: number;
  readonly spec: job.JobSpec;
  readonly trueRunMs: number;
  /** Time after which the job fails on any worker; undefined if it doesn't. */
  readonly failsAfterMs: number | undefined;
}

/** Temporary loss of a worker. */
export interface WorkerLoss {
  readonly workerIndex: number;
  readonly downAtMs: number;
  readonly upAtMs: number;
}

/** Arrivals and faults in a cell. */
export interface Workload {
  readonly name: string;
  readonly arrivals: readonly Arrival[];
  readonly losses: readonly WorkerLoss[];
  /** Index of the worker on which every task fails shortly after its start. */
  readonly blackHole: number | undefined;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const SPAN_MS = 24 * HOUR_MS;
/** Declared run times are wrong by up to this factor in either direction. */
const DECLARED_ERROR = 10;

interface SizeClass {
  readonly kind: string;
  readonly members: readonly number[];
  readonly perMember: readonly number[];
  readonly adjacency: configuration.Adjacency;
  readonly runMs: number;
  readonly isCheckpointable: number;
}

const CLASSES = {
  small: {
    kind: 'small',
    members: [1],
    perMember: [1, 1, 2],
    adjacency: 'worker',
    runMs: 12 * MINUTE_MS,
    isCheckpointable: 0.5,
  },
  medium: {
    kind: 'medium',
    members: [1, 2],
    perMember: [4],
    adjacency: 'rack',
    runMs: 50 * MINUTE_MS,
    isCheckpointable: 0.8,
  },
  large: {
    kind: 'large',
    members: [2],
    perMember: [8],
    adjacency: 'rack',
    runMs: 80 * MINUTE_MS,
    isCheckpointable: 1,
  },
} as const satisfies Record<string, SizeClass>;

/** Names of the size classes. */
export type SizeClassName = keyof typeof CLASSES;

const pick = <T>(next: random.Random, items: readonly T[]): T | undefined =>
  items[random.integerBelow(next, items.length)];

/** Draws an actual run time: most are near the mean of their kind, one in ten takes three times as long. */
const trueRunMs = (next: random.Random, meanMs: number): number =>
  Math.round(meanMs * (0.5 + next()) * (next() < 0.1 ? 3 : 1));

const declared = (next: random.Random, runMs: number): number =>
  Math.max(1000, Math.round(runMs * DECLARED_ERROR ** (2 * next() - 1)));

interface Maker {
  readonly next: random.Random;
  readonly document: configuration.ConfigurationDocument;
  readonly cell: string;
  count: number;
}

/** Draws a customer with skewed shares: the first sends half of the jobs, the next half of the rest. */
const customerFor = (maker: Maker, accelerators: number): string => {
  const able = maker.document.rules
    .filter((it) => it.cells.length === 0 || it.cells.includes(maker.cell))
    .filter((it) => it.maxAccelerators >= accelerators)
    .flatMap((it) => it.customerIds);
  const index = Math.min(able.length - 1, Math.floor(-Math.log2(1 - maker.next())));
  return able[index] ?? '';
};

const borrower = (maker: Maker, name: SizeClassName, atMs: number): Arrival => {
  const { next } = maker;
  const size: SizeClass = CLASSES[name];
  const members = pick(next, size.members) ?? 1;
  const acceleratorsPerMember = pick(next, size.perMember) ?? 1;
  const runMs = trueRunMs(next, size.runMs);
  maker.count += 1;
  const spec: job.JobSpec = {
    jobId: `${maker.cell}-${name}-${maker.count}`,
    customerId: customerFor(maker, members * acceleratorsPerMember),
    kind: size.kind,
    cell: maker.cell,
    claim: 'spare',
    members,
    acceleratorsPerMember,
    adjacency: size.adjacency,
    declaredRunMs: declared(next, runMs),
    isCheckpointable: next() < size.isCheckpointable,
    payload: '',
  };
  const failsAfterMs = next() < 0.01 ? MINUTE_MS : undefined;
  return { atMs: Math.round(atMs), spec, trueRunMs: runMs, failsAfterMs };
};

const claimOf = (maker: Maker, shape: configuration.Shape, atMs: number): Arrival => {
  const perWorker =
    maker.document.cells.find((it) => it.cell === maker.cell)?.acceleratorsPerWorker ?? 8;
  const acceleratorsPerMember = Math.min(shape.accelerators, perWorker);
  const runMs = trueRunMs(maker.next, 40 * MINUTE_MS);
  maker.count += 1;
  const spec: job.JobSpec = {
    jobId: `${maker.cell}-claim-${maker.count}`,
    customerId: shape.customerId,
    kind: 'claim',
    cell: maker.cell,
    claim: 'guaranteed',
    shapeId: shape.shapeId,
    members: Math.floor(shape.accelerators / acceleratorsPerMember),
    acceleratorsPerMember,
    adjacency: shape.adjacency,
    declaredRunMs: declared(maker.next, runMs),
    isCheckpointable: true,
    payload: '',
  };
  return { atMs: Math.round(atMs), spec, trueRunMs: runMs, failsAfterMs: undefined };
};

const steady = (maker: Maker, name: SizeClassName, perHour: number): Arrival[] => {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - maker.next()) * HOUR_MS) / perHour;
    if (atMs >= SPAN_MS) return arrivals;
    arrivals.push(borrower(maker, name, atMs));
  }
};

const bursts = (maker: Maker, name: SizeClassName, everyMs: number, size: number): Arrival[] => {
  const arrivals: Arrival[] = [];
  for (let atMs = HOUR_MS; atMs < SPAN_MS; atMs += everyMs) {
    for (let at = 0; at < size; at += 1) {
      arrivals.push(borrower(maker, name, atMs + maker.next() * MINUTE_MS));
    }
  }
  return arrivals;
};

const claims = (maker: Maker): Arrival[] =>
  maker.document.shapes
    .filter((it) => it.cell === maker.cell)
    .flatMap((shape) =>
      Array.from({ length: 6 }, () => claimOf(maker, shape, maker.next() * SPAN_MS)),
    );

const SHAPES_OF_LOAD = {
  smallBursts: (maker: Maker, scale: number) => [
    ...bursts(maker, 'small', 2 * HOUR_MS, Math.round(130 * scale)),
    ...steady(maker, 'medium', 3 * scale),
  ],
  largeBursts: (maker: Maker, scale: number) => [
    ...bursts(maker, 'large', 6 * HOUR_MS, Math.max(1, Math.round(4 * scale))),
    ...steady(maker, 'small', 20 * scale),
  ],
  mixed: (maker: Maker, scale: number) => [
    ...steady(maker, 'small', 28 * scale),
    ...steady(maker, 'medium', 1.4 * scale),
    ...steady(maker, 'large', 0.28 * scale),
  ],
  saturated: (maker: Maker, scale: number) => [
    ...steady(maker, 'small', 30 * scale),
    ...steady(maker, 'medium', 2.2 * scale),
    ...steady(maker, 'large', 0.42 * scale),
  ],
} as const;

const VARIANTS = [
  { name: 'smallBursts', load: 'smallBursts', hasBlackHole: false, losses: 0 },
  { name: 'largeBursts', load: 'largeBursts', hasBlackHole: false, losses: 0 },
  { name: 'mixed', load: 'mixed', hasBlackHole: false, losses: 0 },
  { name: 'mixedBlackHole', load: 'mixed', hasBlackHole: true, losses: 0 },
  { name: 'saturated', load: 'saturated', hasBlackHole: false, losses: 0 },
  { name: 'mixedLosses', load: 'mixed', hasBlackHole: false, losses: 6 },
] as const;

/** Names of the workloads. */
export const WORKLOAD_NAMES: readonly string[] = VARIANTS.map((it) => it.name);

/**
 * @param name - one of {@link WORKLOAD_NAMES}
 * @param document - configuration of the deployment
 * @param cell - the cell that the jobs are submitted to
 * @param seed - the same seed gives the same workload
 * @returns the workload, with arrivals in order of time
 */
export const createWorkload = (
  name: string,
  document: configuration.ConfigurationDocument,
  cell: string,
  seed: number,
): Workload => {
  const variant = VARIANTS.find((it) => it.name === name) ?? VARIANTS[0];
  const next = random.createRandom(seed);
  const maker: Maker = { next, document, cell, count: 0 };
  const place = document.cells.find((it) => it.cell === cell);
  const workers = place?.workers ?? 1;
  const scale = workers / 4;
  const arrivals = [...SHAPES_OF_LOAD[variant.load](maker, scale), ...claims(maker)].sort(
    (a, b) => a.atMs - b.atMs,
  );
  const losses = Array.from({ length: variant.losses }, () => {
    const downAtMs = Math.round(next() * SPAN_MS);
    const upAtMs = downAtMs + Math.round((10 + 50 * next()) * MINUTE_MS);
    return { workerIndex: random.integerBelow(next, workers), downAtMs, upAtMs };
  });
  return { name, arrivals, losses, blackHole: variant.hasBlackHole ? workers - 1 : undefined };
};
