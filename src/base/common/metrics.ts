/**
 * Counters, gauges and histograms of one process, in the Prometheus text format.
 */
import * as hdr from 'hdr-histogram-js';

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string>>;

/** The metrics of a process. */
export interface Metrics {
  /** Adds to a counter; its name ends in `_total`. */
  readonly count: (name: string, labels?: Labels, by?: number) => void;
  /** Sets a gauge. */
  readonly gauge: (name: string, value: number, labels?: Labels) => void;
  /** Records a duration in milliseconds; the name ends in `_ms`. */
  readonly time: (name: string, durationMs: number, labels?: Labels) => void;
  /** Reads one counter or gauge; 0 if it was never set. */
  readonly read: (name: string, labels?: Labels) => number;
  /** Returns all series in the Prometheus text format. */
  readonly render: () => string;
}

const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
const MICROSECONDS_PER_MS = 1000;
const HIGHEST_MICROSECONDS = 3_600_000_000;

const escapeLabel = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');

const formatLabels = (labels: Labels): string => {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}="${escapeLabel(value)}"`);
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
};

interface TimeSeries {
  readonly name: string;
  readonly labels: Labels;
  readonly histogram: hdr.Histogram;
  sumMs: number;
}

const createTimeSeries = (name: string, labels: Labels): TimeSeries => ({
  name,
  labels,
  histogram: hdr.build({
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
  }),
  sumMs: 0,
});

const renderTimeSeries = (series: TimeSeries): string[] => {
  const { name, labels, histogram, sumMs } = series;
  const quantiles = QUANTILES.map((quantile) => {
    const valueMs = histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MS;
    return `${name}${formatLabels({ ...labels, quantile: String(quantile) })} ${valueMs}`;
  });
  return [
    ...quantiles,
    `${name}_sum${formatLabels(labels)} ${sumMs}`,
    `${name}_count${formatLabels(labels)} ${histogram.totalCount}`,
  ];
};

/**
 * @returns metrics without any series
 */
export const createMetrics = (): Metrics => {
  const values = new Map<string, number>();
  const times = new Map<string, TimeSeries>();
  return {
    count: (name, labels = {}, by = 1) => {
      const key = name + formatLabels(labels);
      values.set(key, (values.get(key) ?? 0) + by);
    },
    gauge: (name, value, labels = {}) => {
      values.set(name + formatLabels(labels), value);
    },
    time: (name, durationMs, labels = {}) => {
      const key = name + formatLabels(labels);
      const series = times.get(key) ?? createTimeSeries(name, labels);
      times.set(key, series);
      series.histogram.recordValue(Math.max(0, Math.round(durationMs * MICROSECONDS_PER_MS)));
      series.sumMs += durationMs;
    },
    read: (name, labels = {}) => values.get(name + formatLabels(labels)) ?? 0,
    render: () => {
      const plain = [...values].map(([key, value]) => `${key} ${value}`);
      const timed = [...times.values()].flatMap(renderTimeSeries);
      return `${[...plain, ...timed].sort().join('\n')}\n`;
    },
  };
};
