/**
 * Format of the committed measurements: named slopes and single figures.
 */
import type * as slopes from './slopes.js';

/** All measurements of one run. */
export interface Measurements {
  readonly machine: string;
  /** Fitted lines by name; the name gives the value, its unit and the variable it depends on. */
  readonly slopes: Readonly<Record<string, slopes.Slope>>;
  /** Single figures by name; the name includes the unit. */
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
 * @param print - called with a line for each measurement
 * @returns an empty recorder
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
