/**
 * Event queue in virtual time, for simulations without real timers.
 */

/** Scheduled events, run in order of time, then of insertion. */
export interface EventQueue {
  readonly nowMs: () => number;
  readonly at: (timeMs: number, run: () => void) => void;
  /** Runs all events scheduled before the given time. */
  readonly runUntil: (timeMs: number) => void;
}

interface Event {
  readonly timeMs: number;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (a: Event, b: Event): boolean =>
  a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.order < b.order);

const siftUp = (heap: Event[], from: number): void => {
  let index = from;
  while (index > 0) {
    const parent = Math.floor((index - 1) / 2);
    const [a, b] = [heap[index], heap[parent]];
    if (a === undefined || b === undefined || !isBefore(a, b)) return;
    heap[index] = b;
    heap[parent] = a;
    index = parent;
  }
};

const siftDown = (heap: Event[]): void => {
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    const [a, b] = [heap[left], heap[left + 1]];
    const smaller = a !== undefined && b !== undefined && isBefore(b, a) ? left + 1 : left;
    const [child, own] = [heap[smaller], heap[index]];
    if (child === undefined || own === undefined || !isBefore(child, own)) return;
    heap[index] = child;
    heap[smaller] = own;
    index = smaller;
  }
};

/**
 * @returns a queue at time 0
 */
export const createEventQueue = (): EventQueue => {
  const heap: Event[] = [];
  let nowMs = 0;
  let order = 0;
  const pop = (): Event | undefined => {
    const [first] = heap;
    const last = heap.pop();
    if (first === undefined || last === undefined || first === last) return first;
    heap[0] = last;
    siftDown(heap);
    return first;
  };
  return {
    nowMs: () => nowMs,
    at: (timeMs, run) => {
      order += 1;
      heap.push({ timeMs: Math.max(nowMs, timeMs), order, run });
      siftUp(heap, heap.length - 1);
    },
    runUntil: (timeMs) => {
      for (let [next] = heap; next !== undefined && next.timeMs < timeMs; [next] = heap) {
        pop();
        nowMs = next.timeMs;
        next.run();
      }
      nowMs = timeMs;
    },
  };
};
