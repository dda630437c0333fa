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

type Prefer = (leftA: number, leftB: number) => number;

const bestFit: Prefer = (a, b) => a - b;
const worstFit: Prefer = (a, b) => b - a;

/** Picks workers of a group for one form, or gives up without a change. */
const slotIn = (
  left: readonly number[],
  group: readonly number[],
  form: UnclaimedShape,
  perWorker: number,
  prefer: Prefer,
  free: readonly number[],
): ShapeSlot | undefined => {
  const isWhole = (worker: number): boolean => (left[worker] ?? 0) >= perWorker;
  const mostFree = (a: number, b: number): number => (free[b] ?? 0) - (free[a] ?? 0) || a - b;
  const wholes =
    form.wholes === 0 ? [] : group.filter(isWhole).sort(mostFree).slice(0, form.wholes);
  if (wholes.length < form.wholes) return undefined;
  const { shapeId } = form.shape;
  const accelerators = wholes.map(() => perWorker);
  if (form.remainder === 0) return { shapeId, workers: wholes, accelerators };
  let part: number | undefined;
  for (const worker of group) {
    const room = left[worker] ?? 0;
    if (room < form.remainder || wholes.includes(worker)) continue;
    const order = part === undefined ? -1 : prefer(room, left[part] ?? 0) || mostFree(worker, part);
    if (order < 0) part = worker;
  }
  if (part === undefined) return undefined;
  return {
    shapeId,
    workers: [...wholes, part],
    accelerators: [...accelerators, form.remainder],
  };
};

const packWith = (
  space: cellSpace.CellSpace,
  claimable: readonly number[],
  forms: readonly UnclaimedShape[],
  perWorker: number,
  prefer: Prefer,
): ShapePacking => {
  const left = [...claimable];
  const slots: ShapeSlot[] = [];
  const unplaced: UnclaimedShape[] = [];
  const roomOf = (rack: readonly number[]): number =>
    rack.reduce((sum, worker) => sum + (left[worker] ?? 0), 0);
  for (const form of forms) {
    const groups = isRackBound(form)
      ? [...space.racks].sort((a, b) => prefer(roomOf(a), roomOf(b)))
      : [space.all];
    let slot: ShapeSlot | undefined;
    for (const group of groups) {
      slot = slotIn(left, group, form, perWorker, prefer, space.free);
      if (slot !== undefined) break;
    }
    if (slot === undefined || (form.shape.adjacency === 'worker' && slot.workers.length > 1)) {
      unplaced.push(form);
      continue;
    }
    slot.workers.forEach((worker, at) => {
      left[worker] = (left[worker] ?? 0) - (slot.accelerators[at] ?? 0);
    });
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
  const first = packWith(space, claimable, forms, perWorker, bestFit);
  if (first.unplaced.length === 0) return first;
  const second = packWith(space, claimable, forms, perWorker, worstFit);
  return second.unplaced.length < first.unplaced.length ? second : first;
};
