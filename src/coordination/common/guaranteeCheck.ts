/**
 * Checks whether all unclaimed guaranteed shapes can be placed together.
 *
 * A shape is a number of complete workers and, for the remainder, a part of one more worker (its
 * *canonical form*); a job may claim it only if it fits that form. The check builds an actual
 * assignment of the forms to workers, so a positive result is always correct. A negative one may be
 * wrong: packing is NP-hard, and where both best fit and worst fit fail, a placement may still
 * exist.
 *
 * Lending does not affect the result, since free and lent accelerators count alike: only placements
 * of guaranteed jobs and losses of workers can break the invariant, so only they run the check.
 */
import type * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';

import type * as cellCapacity from './cellCapacity.js';

/** One instance of a shape that no job claims. */
export interface UnclaimedShape {
  readonly shape: configuration.Shape;
  /** Complete workers of its canonical form. */
  readonly wholes: number;
  /** Accelerators on one more worker. */
  readonly remainder: number;
}

/** An assignment of shapes to workers. */
export interface ShapePacking {
  /** Accelerators set aside on each worker. */
  readonly setAside: readonly number[];
  readonly unplaced: readonly UnclaimedShape[];
  /** Slots of the placed instances. */
  readonly slots: readonly ShapeSlot[];
}

/** Workers and accelerators assigned to an instance of a shape. */
export interface ShapeSlot {
  readonly shapeId: string;
  readonly workers: readonly number[];
  readonly accelerators: readonly number[];
}

/**
 * @param accelerators - size of a shape
 * @param perWorker - accelerators of a worker of the cell
 * @returns its canonical form
 */
export const canonicalForm = (
  accelerators: number,
  perWorker: number,
): { readonly wholes: number; readonly remainder: number } => ({
  wholes: Math.floor(accelerators / Math.max(1, perWorker)),
  remainder: accelerators % Math.max(1, perWorker),
});

const ADJACENCY_RANK = { worker: 0, rack: 1, zone: 2 } as const;

/**
 * @param spec - a job that claims a shape
 * @param shape - the shape
 * @param perWorker - accelerators of a worker of the cell
 * @returns whether the job fits the shape's canonical form on any workers that hold it
 */
export const fitsShape = (
  spec: job.JobSpec,
  shape: configuration.Shape,
  perWorker: number,
): boolean => {
  const { wholes, remainder } = canonicalForm(shape.accelerators, perWorker);
  const per = spec.acceleratorsPerMember;
  const onLargest = Math.floor(Math.min(shape.accelerators, perWorker) / per);
  if (onLargest >= spec.members) return true;
  if (ADJACENCY_RANK[spec.adjacency] < ADJACENCY_RANK[shape.adjacency]) return false;
  const memberCapacity = wholes * Math.floor(perWorker / per) + Math.floor(remainder / per);
  return memberCapacity >= spec.members;
};

const isClaiming = (record: job.JobRecord): boolean =>
  record.spec.claim === job.Claim.guaranteed && record.placement.length > 0;

/**
 * @param jobs - the cell's jobs
 * @returns number of claimed instances by shape, including jobs that are starting or stopping
 */
export const countClaims = (jobs: readonly job.JobRecord[]): Map<string, number> => {
  const claims = new Map<string, number>();
  for (const record of jobs) {
    if (!isClaiming(record)) continue;
    const shapeId = record.spec.shapeId ?? '';
    claims.set(shapeId, (claims.get(shapeId) ?? 0) + 1);
  }
  return claims;
};

/**
 * @param document - the active configuration
 * @param cell - the cell
 * @param claims - number of claimed instances by shape
 * @returns the unclaimed instances, hardest to place first, in a deterministic order
 */
export const unclaimedShapes = (
  document: configuration.ConfigurationDocument,
  cell: string,
  claims: ReadonlyMap<string, number>,
): UnclaimedShape[] => {
  const perWorker = document.cells.find((it) => it.cell === cell)?.acceleratorsPerWorker ?? 1;
  return document.shapes
    .filter((it) => it.cell === cell)
    .flatMap((shape) => {
      const left = Math.max(0, shape.count - (claims.get(shape.shapeId) ?? 0));
      const form = canonicalForm(shape.accelerators, perWorker);
      return Array.from({ length: left }, () => ({ shape, ...form }));
    })
    .sort(
      (a, b) =>
        Number(isRackBound(b)) - Number(isRackBound(a)) ||
        b.shape.accelerators - a.shape.accelerators ||
        a.shape.shapeId.localeCompare(b.shape.shapeId),
    );
};

const isRackBound = (it: UnclaimedShape): boolean =>
  it.shape.adjacency === 'rack' && it.wholes + Number(it.remainder > 0) > 1;

/** 1 for best fit, -1 for worst fit. */
type FitSign = 1 | -1;

interface Packing {
  readonly capacity: cellCapacity.CellCapacity;
  readonly perWorker: number;
  readonly sign: FitSign;
  /** Remaining accelerators of each worker. */
  readonly left: number[];
  /** Number of completely available workers in each rack. */
  readonly wholes: number[];
  /**
   * Workers by remaining accelerators, those with the most free ones last. Entries become stale
   * when a worker is used. Avoids a search of the complete cell for each of some hundred shapes.
   */
  readonly byLeft: number[][];
}

const wholesOf = (rack: readonly number[], left: readonly number[], perWorker: number): number =>
  rack.filter((worker) => (left[worker] ?? 0) >= perWorker).length;

/** Picks completely available workers of a group, most free accelerators first. */
const pickWholes = (packing: Packing, group: readonly number[], count: number): number[] => {
  if (count === 0) return [];
  const { capacity, left, perWorker } = packing;
  return group
    .filter((worker) => (left[worker] ?? 0) >= perWorker)
    .sort((a, b) => (capacity.free[b] ?? 0) - (capacity.free[a] ?? 0) || a - b)
    .slice(0, count);
};

/** Picks the worker with the best (or worst) fit for a part; on a tie the one with more free. */
const pickPart = (
  packing: Packing,
  group: readonly number[],
  need: number,
  taken: readonly number[],
): number | undefined => {
  const { capacity, left, sign } = packing;
  let best: number | undefined;
  let bestAvailable = 0;
  for (const worker of group) {
    const available = left[worker] ?? 0;
    if (available < need || taken.includes(worker)) continue;
    const order = best === undefined ? -1 : sign * (available - bestAvailable);
    const isFreer =
      best !== undefined &&
      order === 0 &&
      (capacity.free[worker] ?? 0) > (capacity.free[best] ?? 0);
    if (order < 0 || isFreer) {
      best = worker;
      bestAvailable = available;
    }
  }
  return best;
};

const groupByLeft = (capacity: cellCapacity.CellCapacity, left: readonly number[]): number[][] => {
  const byLeft: number[][] = Array.from({ length: 1 + Math.max(0, ...left) }, () => []);
  for (const worker of capacity.all) byLeft[left[worker] ?? 0]?.push(worker);
  for (const it of byLeft) it.sort((a, b) => (capacity.free[a] ?? 0) - (capacity.free[b] ?? 0));
  return byLeft;
};

/** Same as {@link pickPart}, over the complete cell. */
const pickPartAnywhere = (
  packing: Packing,
  need: number,
  taken: readonly number[],
): number | undefined => {
  const { byLeft, left, sign } = packing;
  const last = byLeft.length - 1;
  for (let step = 0; step <= last - need; step += 1) {
    const remaining = sign === 1 ? need + step : last - step;
    const bucket = byLeft[remaining] ?? [];
    const isStale = (): boolean => left[bucket[bucket.length - 1] ?? -1] !== remaining;
    while (bucket.length > 0 && isStale()) bucket.pop();
    const worker = bucket.findLast((it) => left[it] === remaining && !taken.includes(it));
    if (worker !== undefined) return worker;
  }
  return undefined;
};

/** Picks workers of a group for one form; undefined where it does not fit. */
const slotIn = (
  packing: Packing,
  group: readonly number[],
  form: UnclaimedShape,
): ShapeSlot | undefined => {
  const wholes = pickWholes(packing, group, form.wholes);
  if (wholes.length < form.wholes) return undefined;
  const { shapeId } = form.shape;
  const accelerators = wholes.map(() => packing.perWorker);
  if (form.remainder === 0) return { shapeId, workers: wholes, accelerators };
  const part =
    group === packing.capacity.all
      ? pickPartAnywhere(packing, form.remainder, wholes)
      : pickPart(packing, group, form.remainder, wholes);
  if (part === undefined) return undefined;
  const parts = [...accelerators, form.remainder];
  return { shapeId, workers: [...wholes, part], accelerators: parts };
};

/** Picks the rack with the fewest (or most) completely available workers that fits the form. */
const slotInRack = (packing: Packing, form: UnclaimedShape): ShapeSlot | undefined => {
  const { capacity, wholes, sign } = packing;
  const racks = capacity.racks
    .map((rack, index) => ({ rack, count: wholes[index] ?? 0 }))
    .filter((it) => it.count >= form.wholes)
    .sort((a, b) => sign * (a.count - b.count));
  for (const { rack } of racks) {
    const slot = slotIn(packing, rack, form);
    if (slot !== undefined) return slot;
  }
  return undefined;
};

const takeSlot = (packing: Packing, slot: ShapeSlot): void => {
  const { capacity, left, wholes, perWorker } = packing;
  slot.workers.forEach((worker, at) => {
    const remaining = (left[worker] ?? 0) - (slot.accelerators[at] ?? 0);
    left[worker] = remaining;
    packing.byLeft[remaining]?.push(worker);
    const rack = capacity.rackOf[worker] ?? 0;
    wholes[rack] = wholesOf(capacity.racks[rack] ?? [], left, perWorker);
  });
};

const packWith = (
  capacity: cellCapacity.CellCapacity,
  claimable: readonly number[],
  forms: readonly UnclaimedShape[],
  perWorker: number,
  sign: FitSign,
): ShapePacking => {
  const left = [...claimable];
  const wholes = capacity.racks.map((rack) => wholesOf(rack, left, perWorker));
  const byLeft = groupByLeft(capacity, left);
  const packing: Packing = { capacity, perWorker, sign, left, wholes, byLeft };
  const slots: ShapeSlot[] = [];
  const unplaced: UnclaimedShape[] = [];
  for (const form of forms) {
    const isTooLarge = form.shape.adjacency === 'worker' && form.shape.accelerators > perWorker;
    const slot = isRackBound(form)
      ? slotInRack(packing, form)
      : slotIn(packing, capacity.all, form);
    if (slot === undefined || isTooLarge) {
      unplaced.push(form);
      continue;
    }
    takeSlot(packing, slot);
    slots.push(slot);
  }
  const setAside = claimable.map((size, worker) => size - (left[worker] ?? 0));
  return { setAside, unplaced, slots };
};

/**
 * @param capacity - the cell
 * @param claimable - accelerators of each worker that are free or lent
 * @param forms - unclaimed instances
 * @param perWorker - accelerators of a worker of the cell
 * @returns an assignment; instances that could not be shown to fit are unplaced
 */
export const packShapes = (
  capacity: cellCapacity.CellCapacity,
  claimable: readonly number[],
  forms: readonly UnclaimedShape[],
  perWorker: number,
): ShapePacking => {
  const first = packWith(capacity, claimable, forms, perWorker, 1);
  if (first.unplaced.length === 0) return first;
  const second = packWith(capacity, claimable, forms, perWorker, -1);
  return second.unplaced.length < first.unplaced.length ? second : first;
};
