/**
 * The operators' routes to jobs, the daily ledger and service levels; the routes to the configuration and
 * the cells are in operatorApi.
 */
import * as errors from '../base/common/errors.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import * as serviceLevelReport from '../coordination/common/serviceLevelReport.js';
import * as jobArchive from '../coordination/node/jobArchive.js';
import * as serviceLevelRecorder from '../coordination/node/serviceLevelRecorder.js';
import * as ledgerEntry from '../state/common/ledgerEntry.js';
import type * as store from '../state/common/store.js';
import * as storeKeys from '../state/common/storeKeys.js';
import type * as callerApi from '../transport/node/callerApi.js';
import * as operatorJobsApi from '../transport/node/operatorJobsApi.js';
import * as operatorLedgerApi from '../transport/node/operatorLedgerApi.js';
import type * as operatorRoutes from '../transport/node/operatorRoutes.js';

import type * as processContext from './processContext.js';

const readDays = async (
  target: store.Store,
  cell: string,
): Promise<readonly ledgerEntry.LedgerDay[]> => {
  const { entries } = await target.list(storeKeys.ledgerDaysPrefix(cell));
  return entries.map((it) =>
    schemaIssues.decodeOrFail(ledgerEntry.LedgerDay, JSON.parse(it.value), 'ledger day'),
  );
};

/**
 * @param ctx - shared services of the process
 * @param target - the store
 * @returns a function that reports on the active objectives
 */
export const createServiceLevelReporter = (
  ctx: processContext.ProcessContext,
  target: store.Store,
): (() => Promise<serviceLevelReport.ServiceLevelReport>) => {
  const readLevels = serviceLevelRecorder.createServiceLevelReader(target);
  return async () => {
    const record = ctx.configuration.current();
    if (record === undefined) {
      throw errors.fail('storeUnavailable', 'no configuration is in force yet');
    }
    const nowMs = ctx.clock.wallMs();
    return serviceLevelReport.createReport(record, await readLevels(nowMs), nowMs);
  };
};

/**
 * @param ctx - shared services of the process
 * @param target - the store
 * @param jobs - the entry's gateway to jobs
 * @returns the routes
 */
export const createJobAndLedgerRoutes = (
  ctx: processContext.ProcessContext,
  target: store.Store,
  jobs: callerApi.JobGateway,
): readonly operatorRoutes.Route[] => [
  ...operatorJobsApi.createJobRoutes({
    jobs,
    findArchived: (cell, jobId) =>
      jobArchive.findArchivedJob(target, cell, jobId, ctx.clock.wallMs()),
  }),
  ...operatorLedgerApi.createLedgerRoutes({
    ledgerDays: (cell) => readDays(target, cell),
    serviceLevels: createServiceLevelReporter(ctx, target),
  }),
];
