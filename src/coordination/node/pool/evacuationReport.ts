/**
 * Tells the operators how many runs are left in each zone that they evacuate.
 */
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as evacuations from '../../common/pool/evacuations.js';
import * as workerTable from '../../common/pool/workerTable.js';

/** Dependencies of the report. */
export interface EvacuationReportOptions {
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly evacuations: Pick<evacuations.Evacuations, 'zones'>;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
}

/** Gauge of the runs in an evacuated zone; 0 after the zone was taken back. */
const RUNS_LEFT = 'auburnlift_evacuated_zone_runs';

const countRuns = (workers: Iterable<workerTable.WorkerEntry>): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const { info, runs } of workers) {
    if (info !== undefined) counts.set(info.zone, (counts.get(info.zone) ?? 0) + runs.size);
  }
  return counts;
};

/**
 * @param options - its dependencies
 * @returns reports when called; logs a zone once when it has become empty
 */
export const createEvacuationReport = (options: EvacuationReportOptions): (() => void) => {
  const { log, metrics: gauges, evacuations: evacuated, workers } = options;
  const reportedZones = new Set<string>();
  const emptyZones = new Set<string>();

  return () => {
    if (evacuated.zones.size === 0 && reportedZones.size === 0) return;
    const counts = countRuns(workers.values());
    for (const zone of [...reportedZones].filter((it) => !evacuated.zones.has(it))) {
      gauges.gauge(RUNS_LEFT, 0, { zone });
      reportedZones.delete(zone);
      emptyZones.delete(zone);
    }
    for (const zone of evacuated.zones) {
      const runs = counts.get(zone) ?? 0;
      gauges.gauge(RUNS_LEFT, runs, { zone });
      reportedZones.add(zone);
      if (runs > 0) emptyZones.delete(zone);
      else if (!emptyZones.has(zone)) {
        emptyZones.add(zone);
        log('info', 'evacuatedZoneEmpty', { zone });
      }
    }
  };
};
