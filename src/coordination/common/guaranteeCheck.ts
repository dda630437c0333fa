/**
 * Whether all guaranteed shapes that nobody claims can be placed together.
 *
 * A shape stands for whole workers and, where it does not fill the last one, a part of one more
 * worker (its *canonical form*); a job may claim it only if the job fits that form. The check builds
 * an actual assignment of the forms to workers. So it is sound: when it says that the shapes fit,
 * the assignment is the proof. It is conservative: packing is NP-hard, and where two orders of
 * best fit and worst fit both fail, a placement may exist that neither found.
 *
 * Lending changes nothing here, since free and lent accelerators count alike: only placements of
 * guaranteed jobs and losses of workers can break the invariant, so only they pay for the check.
 */
import type * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';

import type * as cellSpace from './cellSpace.js';

/** One instance of a shape that nobody claims now. */
export interface UnclaimedShape {
  readonly shape: configuration.Shape;
  /** Whole workers of its canonical form. */
  readonly wholes: number;
  /** Accelerators on one more worker. */
  readonly remainder: number;
}

/** An assignment of shapes to workers. */
export interface ShapePacking {
  /** Accelerators set aside on each worker. */
  readonly setAside: readonly number[];
  readonly unplaced: readonly UnclaimedShape[];
  /** For each placed instance the workers of its form. */
  readonly slots: readonly ShapeSlot[];
}

/** Where an instance of a shape is placed. */
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
 * @returns whether the job fits the shape's canonical form wherever that form lies
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
  const room = wholes * Math.floor(perWorker / per) + Math.floor(remainder / per);
  return room >= spec.members;
};

const isClaiming = (record: job.JobRecord): boolean =>
  record.spec.claim === job.Claim.guaranteed && record.placement.length > 0;

/**
 * @param jobs - the cell's jobs
 * @returns instances of each shape that running or stopping jobs hold
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
 * @param document - the configuration in force
 * @param cell - the cell
 * @param claims - instances that are claimed, by shape
 * @returns the unclaimed instances, the hardest to place first, always in the same order
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
  readonly space: cellSpace.CellSpace;
  readonly perWorker: number;
  readonly sign: FitSign;
  /** Accelerators left on each worker. */
  readonly left: number[];
  /** Whole workers left in each rack. */
  readonly wholes: number[];
  /**
   * Workers by accelerators left, those with the most free ones last. Entries go stale when a worker
   * is used; so the whole cell is not searched again for each of some hundred shapes.
   */
  readonly byRoom: number[][];
}

const wholesOf = (rack: readonly number[], left: readonly number[], perWorker: number): number =>
  rack.filter((worker) => (left[worker] ?? 0) >= perWorker).length;

/** Whole workers of a group, those with the most free accelerators first. */
const pickWholes = (packing: Packing, group: readonly number[], count: number): number[] => {
  if (count === 0) return [];
  const { space, left, perWorker } = packing;
  return group
    .filter((worker) => (left[worker] ?? 0) >= perWorker)
    .sort((a, b) => (space.free[b] ?? 0) - (space.free[a] ?? 0) || a - b)
    .slice(0, count);
};

/** The tightest (or widest) worker for a part, the one with more free accelerators where equal. */
const pickPart = (
  packing: Packing,
  group: readonly number[],
  need: number,
  taken: readonly number[],
): number | undefined => {
  const { space, left, sign } = packing;
  let best: number | undefined;
  let bestRoom = 0;
  for (const worker of group) {
    const room = left[worker] ?? 0;
    if (room < need || taken.includes(worker)) continue;
    const order = best === undefined ? -1 : sign * (room - bestRoom);
    const isFreer =
      best !== undefined && order === 0 && (space.free[worker] ?? 0) > (space.free[best] ?? 0);
    if (order < 0 || isFreer) {
      best = worker;
      bestRoom = room;
    }
  }
  return best;
};

const groupByRoom = (space: cellSpace.CellSpace, left: readonly number[]): number[][] => {
  const byRoom: number[][] = Array.from({ length: 1 + Math.max(0, ...left) }, () => []);
  for (const worker of space.all) byRoom[left[worker] ?? 0]?.push(worker);
  for (const bucket of byRoom) bucket.sort((a, b) => (space.free[a] ?? 0) - (space.free[b] ?? 0));
  return byRoom;
};

/** As {@link pickPart}, over the whole cell. */
const pickPartAnywhere = (
  packing: Packing,
  need: number,
  taken: readonly number[],
): number | undefined => {
  const { byRoom, left, sign } = packing;
  const last = byRoom.length - 1;
  for (let step = 0; step <= last - need; step += 1) {
    const room = sign === 1 ? need + step : last - step;
    const bucket = byRoom[room] ?? [];
    const isStale = (): boolean => left[bucket[bucket.length - 1] ?? -1] !== room;
    while (bucket.length > 0 && isStale()) bucket.pop();
    const worker = bucket.findLast((it) => left[it] === room && !taken.includes(it));
    if (worker !== undefined) return worker;
  }
  return undefined;
};

/** Picks workers of a group for one form, or gives up without a change. */
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
    group === packing.space.all
      ? pickPartAnywhere(packing, form.remainder, wholes)
      : pickPart(packing, group, form.remainder, wholes);
  if (part === undefined) return undefined;
  const parts = [...accelerators, form.remainder];
  return { shapeId, workers: [...wholes, part], accelerators: parts };
};

/** The rack with the fewest (or most) whole workers that holds the form. */
const slotInRack = (packing: Packing, form: UnclaimedShape): ShapeSlot | undefined => {
  const { space, wholes, sign } = packing;
  const racks = space.racks
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
  const { space, left, wholes, perWorker } = packing;
  slot.workers.forEach((worker, at) => {
    const room = (left[worker] ?? 0) - (slot.accelerators[at] ?? 0);
    left[worker] = room;
    packing.byRoom[room]?.push(worker);
    const rack = space.rackOf[worker] ?? 0;
    wholes[rack] = wholesOf(space.racks[rack] ?? [], left, perWorker);
  });
};

const packWith = (
  space: cellSpace.CellSpace,
  claimable: readonly number[],
  forms: readonly UnclaimedShape[],
  perWorker: number,
  sign: FitSign,
): ShapePacking => {
  const left = [...claimable];
  const wholes = space.racks.map((rack) => wholesOf(rack, left, perWorker));
  const byRoom = groupByRoom(space, left);
  const packing: Packing = { space, perWorker, sign, left, wholes, byRoom };
  const slots: ShapeSlot[] = [];
  const unplaced: UnclaimedShape[] = [];
  for (const form of forms) {
    const isTooLarge = form.shape.adjacency === 'worker' && form.shape.accelerators > perWorker;
    const slot = isRackBound(form) ? slotInRack(packing, form) : slotIn(packing, space.all, form);
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
 * @param space - the cell
 * @param claimable - accelerators of each worker that are free or lent
 * @param forms - unclaimed instances
 * @param perWorker - accelerators of a worker of the cell
 * @returns an assignment; what it leaves unplaced could not be shown to fit
 */
export const packShapes = (
  space: cellSpace.CellSpace,
  claimable: readonly number[],
  forms: readonly UnclaimedShape[],
  perWorker: number,
): ShapePacking => {
  const first = packWith(space, claimable, forms, perWorker, 1);
  if (first.unplaced.length === 0) return first;
  const second = packWith(space, claimable, forms, perWorker, -1);
  return second.unplaced.length < first.unplaced.length ? second : first;
};
