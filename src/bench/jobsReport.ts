/**
 * Result tables and acceptance limits of the jobs bench.
 */
import * as jobsFigures from './jobsFigures.js';

/** Name of the project's planner. */
export const OURS = 'auburnlift';
/** Name of `jobsBaselines.firstFitFifo`. */
export const FIFO = 'first-fit FIFO';
/** Name of `jobsBaselines.bestFitBackfill`. */
export const BACKFILL = 'best-fit backfill';

/** Required gain in mean completion over the better baseline on the mixed workload. */
const MIXED_GAIN = 0.15;
/** Required reduction of fragmentation compared with first-fit FIFO. */
const FRAGMENTATION_GAIN = 0.3;
/** Limit on a large job's wait as a multiple of its wait with only large jobs and claims queued. */
const LARGE_WAIT_RATIO = 3;
const MS_PER_HOUR = 3_600_000;
const MS_PER_MINUTE = 60_000;

/** An acceptance limit with the measured value. */
export interface AcceptanceLimit {
  readonly name: string;
  readonly measured: string;
  readonly isMet: boolean;
}

/**
 * @param figures - figures of one run
 * @returns time-weighted share of free accelerators that can't serve the largest shape
 */
export const fragmentationOf = (figures: jobsFigures.Figures): number =>
  figures.counts.fragmentedAcceleratorMs / Math.max(1, figures.counts.freeAcceleratorMs);

const meanMinutes = (figures: jobsFigures.Figures, size: jobsFigures.SizeClass): number =>
  (figures.completion.get(size)?.mean ?? 0) / 60;

const minutes = (seconds: number): string => (seconds / 60).toFixed(1);

const cellsOf = (figures: jobsFigures.Figures): readonly string[] => {
  const sizes = jobsFigures.SIZE_CLASSES.map((size) => {
    const histogram = figures.completion.get(size);
    if (histogram === undefined || histogram.totalCount === 0) return '-';
    return `${minutes(histogram.mean)}/${minutes(histogram.getValueAtPercentile(95))}`;
  });
  const { counts } = figures;
  const maxWaitMs = Math.max(0, ...figures.largeWaitMs.values());
  return [
    ...sizes,
    (maxWaitMs / MS_PER_MINUTE).toFixed(0),
    fragmentationOf(figures).toFixed(3),
    (counts.heldAcceleratorMs / Math.max(1, counts.capacityAcceleratorMs)).toFixed(3),
    (counts.lostAcceleratorMs / MS_PER_HOUR).toFixed(1),
    String(counts.stops),
    `${counts.violations}+${counts.excused}/${counts.claims}`,
    `${counts.unfinished}/${counts.unrunnable}`,
    String(counts.quarantines),
  ];
};

const COLUMNS = [
  ...jobsFigures.SIZE_CLASSES.map((it) => `${it} min`),
  'large wait',
  'fragm.',
  'util.',
  'lost acc-h',
  'stops',
  'late+excused/claims',
  'left/unrunnable',
  'quarantines',
];
const FIRST_WIDTH = 18;
const WIDTH = 13;

/**
 * @param title - deployment and workload
 * @param results - figures by planner
 * @param print - called with each line of the table
 */
export const printTable = (
  title: string,
  results: ReadonlyMap<string, jobsFigures.Figures>,
  print: (line: string) => void,
): void => {
  print(`${title} (completion: mean/p95 minutes)`);
  const row = (first: string, cells: readonly string[]): string =>
    first.padEnd(FIRST_WIDTH) + cells.map((it) => it.padStart(WIDTH)).join(' ');
  print(row('', COLUMNS));
  for (const [name, figures] of results) print(row(name, cellsOf(figures)));
  print('');
};

/**
 * Largest ratio of waits between the two runs. They serve large jobs in different orders, so waits are
 * compared by rank: the longest with the longest, and so on.
 */
const ratioOf = (
  ours: jobsFigures.Figures,
  alone: jobsFigures.Figures,
  floorMs: number,
): number => {
  const descending = (figures: jobsFigures.Figures): number[] =>
    [...figures.largeWaitMs.values()].sort((a, b) => b - a);
  const aloneMs = descending(alone);
  const ratios = descending(ours).map(
    (waitMs, rank) => waitMs / Math.max(floorMs, aloneMs[rank] ?? 0),
  );
  return Math.max(0, ...ratios);
};

/**
 * @param title - deployment and workload
 * @param results - figures by planner
 * @param alone - figures of the project's planner with large jobs and claims only
 * @param floorMs - shortest wait that counts for the ratio: the wait before a reservation
 * @returns the acceptance limits of the workload with the measured values
 */
export const checkLimits = (
  title: string,
  results: ReadonlyMap<string, jobsFigures.Figures>,
  alone: jobsFigures.Figures,
  floorMs: number,
): AcceptanceLimit[] => {
  const ours = results.get(OURS);
  const fifo = results.get(FIFO);
  const backfill = results.get(BACKFILL);
  if (ours === undefined || fifo === undefined || backfill === undefined) return [];
  const better = Math.min(meanMinutes(fifo, 'all'), meanMinutes(backfill, 'all'));
  const gain = 1 - meanMinutes(ours, 'all') / better;
  const wanted = title.endsWith('/ mixed') ? MIXED_GAIN : 0;
  const lower = 1 - fragmentationOf(ours) / Math.max(0.0001, fragmentationOf(fifo));
  const ratio = ratioOf(ours, alone, floorMs);
  const percent = (share: number): string => `${(100 * share).toFixed(1)}%`;
  const { violations, unfinished } = ours.counts;
  return [
    {
      name: `${title}: no violations, no faults, nothing left`,
      measured: `${violations}, ${ours.faults.length}, ${unfinished}`,
      isMet: violations + ours.faults.length + unfinished === 0,
    },
    {
      name: `${title}: mean completion at least ${percent(wanted)} better`,
      measured: percent(gain),
      isMet: gain >= wanted,
    },
    {
      name: `${title}: fragmentation at least ${percent(FRAGMENTATION_GAIN)} lower than FIFO`,
      measured: percent(lower),
      isMet: lower >= FRAGMENTATION_GAIN,
    },
    {
      name: `${title}: large jobs wait at most ${LARGE_WAIT_RATIO} times their wait alone`,
      measured: ratio.toFixed(2),
      isMet: ratio <= LARGE_WAIT_RATIO,
    },
  ];
};

/**
 * @param bars - all acceptance limits
 * @param print - called with each line of the results
 */
export const printLimits = (
  bars: readonly AcceptanceLimit[],
  print: (line: string) => void,
): void => {
  for (const bar of bars) print(`${bar.isMet ? 'met   ' : 'MISSED'} ${bar.name}: ${bar.measured}`);
  const missed = bars.filter((it) => !it.isMet).length;
  print(`${bars.length - missed} of ${bars.length} bars met`);
};
