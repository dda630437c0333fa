/**
 * The form of the committed measurements: named slopes and single figures.
 */
import type * as slopes from './slopes.js';

/** Everything that one run measured. */
export interface Measurements {
  readonly machine: string;
  /** Lines by name; the name says value, unit and what it grows with. */
  readonly slopes: Readonly<Record<string, slopes.Slope>>;
  /** Single figures by name; the name carries the unit. */
  readonly figures: Readonly<Record<string, number>>;
}

/** Collects measurements. */
export interface Recorder {
  readonly point: (name: string, size: number, value: number) => void;
  readonly figure: (name: string, value: number) => void;
  readonly points: () => ReadonlyMap<string, readonly slopes.Point[]>;
  readonly figures: () => Readonly<Record<string, number>>;
}

/**
 * @param print - prints a line for each measurement
 * @returns a recorder without measurements
 */
export const createRecorder = (print: (line: string) => void): Recorder => {
  const points = new Map<string, slopes.Point[]>();
  const figures: Record<string, number> = {};
  return {
    point: (name, size, value) => {
      const known = points.get(name) ?? [];
      known.push({ size, value });
      points.set(name, known);
      print(`${name} at ${size}: ${value.toFixed(4)}`);
    },
    figure: (name, value) => {
      figures[name] = value;
      print(`${name}: ${value.toFixed(4)}`);
    },
    points: () => points,
    figures: () => figures,
  };
};
