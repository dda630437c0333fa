/**
 * Whether all guaranteed shapes of a cell fit its workers and racks at the same time.
 *
 * A shape of adjacency `worker` must fit on one worker, `rack` in one rack, `zone` anywhere. The
 * exact problem is bin packing, so three greedy orders are tried and one success is enough. A
 * document may therefore be refused although a better packing exists; it is never accepted
 * without a valid packing.
 */
import type * as configuration from './configuration.js';

type Racks = number[][];

const createRacks = (cell: configuration.Cell): Racks => {
  const racks: Racks = [];
  for (let index = 0; index < cell.workers; index += 1) {
    const rack = Math.floor(index / cell.workersPerRack);
    const workers = racks[rack] ?? [];
    racks[rack] = workers;
    workers.push(cell.acceleratorsPerWorker);
  }
  return racks;
};

const sum = (values: readonly number[]): number => values.reduce((all, it) => all + it, 0);

/** Takes from the workers with the least free capacity first, so that empty workers stay empty. */
const takeAccelerators = (workers: number[], accelerators: number): void => {
  let left = accelerators;
  const order = workers.map((_free, index) => index);
  order.sort((a, b) => (workers[a] ?? 0) - (workers[b] ?? 0));
  for (const index of order) {
    const taken = Math.min(left, workers[index] ?? 0);
    workers[index] = (workers[index] ?? 0) - taken;
    left -= taken;
  }
};

const bestFit = <T>(
  bins: readonly T[],
  sizeOf: (bin: T) => number,
  accelerators: number,
): T | undefined =>
  bins.filter((it) => sizeOf(it) >= accelerators).sort((a, b) => sizeOf(a) - sizeOf(b))[0];

const placeOnWorker = (racks: Racks, accelerators: number): boolean => {
  const places = racks.flatMap((rack) => rack.map((_free, index) => ({ rack, index })));
  const sizeOf = (place: { rack: number[]; index: number }): number => place.rack[place.index] ?? 0;
  const place = bestFit(places, sizeOf, accelerators);
  if (place === undefined) return false;
  place.rack[place.index] = sizeOf(place) - accelerators;
  return true;
};

const placeInRack = (racks: Racks, accelerators: number): boolean => {
  const rack = bestFit(racks, sum, accelerators);
  if (rack === undefined) return false;
  takeAccelerators(rack, accelerators);
  return true;
};

type Adjacency = configuration.Adjacency;

const ORDERS: readonly (readonly Adjacency[])[] = [
  ['worker', 'rack'],
  ['rack', 'worker'],
];

const sizesOf = (shapes: readonly configuration.Shape[], kind: Adjacency): number[] =>
  shapes
    .filter((it) => it.adjacency === kind)
    .flatMap((it) => Array.from({ length: it.count }, () => it.accelerators))
    .sort((a, b) => b - a);

const packInOrder = (
  cell: configuration.Cell,
  shapes: readonly configuration.Shape[],
  order: readonly Adjacency[],
): boolean => {
  const racks = createRacks(cell);
  const place = { worker: placeOnWorker, rack: placeInRack, zone: () => true };
  return order.every((kind) => sizesOf(shapes, kind).every((it) => place[kind](racks, it)));
};

const packBySize = (cell: configuration.Cell, shapes: readonly configuration.Shape[]): boolean => {
  const racks = createRacks(cell);
  const items = (['worker', 'rack'] as const).flatMap((kind) =>
    sizesOf(shapes, kind).map((accelerators) => ({ kind, accelerators })),
  );
  items.sort((a, b) => b.accelerators - a.accelerators);
  const place = { worker: placeOnWorker, rack: placeInRack };
  return items.every((it) => place[it.kind](racks, it.accelerators));
};

/**
 * @param shapes - shapes of one cell
 * @returns total accelerators of all their instances
 */
export const acceleratorsOf = (shapes: readonly configuration.Shape[]): number =>
  sum(shapes.map((it) => it.accelerators * it.count));

/**
 * @param cell - the cell with its expected capacity
 * @param shapes - its guaranteed shapes
 * @returns whether all instances fit at the same time
 */
export const canHold = (
  cell: configuration.Cell,
  shapes: readonly configuration.Shape[],
): boolean => {
  if (acceleratorsOf(shapes) > cell.workers * cell.acceleratorsPerWorker) return false;
  return ORDERS.some((it) => packInOrder(cell, shapes, it)) || packBySize(cell, shapes);
};

/**
 * @param cell - the cell
 * @param adjacency - how close together the accelerators must be
 * @returns the maximum size of one shape of this adjacency in the empty cell
 */
export const largestShape = (
  cell: configuration.Cell,
  adjacency: configuration.Adjacency,
): number => {
  const workers = {
    worker: Math.min(1, cell.workers),
    rack: Math.min(cell.workersPerRack, cell.workers),
    zone: cell.workers,
  };
  return workers[adjacency] * cell.acceleratorsPerWorker;
};
