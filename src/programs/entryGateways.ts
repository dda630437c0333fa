/**
 * How an entry reaches the leaders of cells and the store on behalf of customers and operators.
 */
import * as errors from '../base/common/errors.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import * as jobAdmission from '../coordination/common/jobAdmission.js';
import * as liveView from '../coordination/common/liveView.js';
import * as configurationStore from '../coordination/node/configurationStore.js';
import type * as liveWatch from '../coordination/node/liveWatch.js';
import type * as configuration from '../state/common/configuration.js';
import * as ledgerEntry from '../state/common/ledgerEntry.js';
import type * as store from '../state/common/store.js';
import * as storeKeys from '../state/common/storeKeys.js';
import type * as callerApi from '../transport/node/callerApi.js';
import type * as operatorApi from '../transport/node/operatorApi.js';
import type * as rpcClient from '../transport/node/rpcClient.js';

import type * as processKit from './processKit.js';

/** Both gateways of an entry. */
export interface Gateways {
  readonly jobs: callerApi.JobGateway;
  readonly operators: operatorApi.OperatorGateway;
}

const RETRY_MS = 1000;

/**
 * @param kit - parts of the process
 * @param target - the store
 * @param live - the live prefix
 * @returns the gateways
 */
export const createGateways = (
  kit: processKit.ProcessKit,
  target: store.Store,
  live: liveWatch.LiveWatch,
): Gateways => {
  const document = (): configuration.ConfigurationDocument => {
    const current = kit.configuration.current();
    if (current !== undefined) return current.document;
    throw errors.fail('storeUnavailable', 'no configuration is in force yet; nothing ran', {
      retryAfterMs: RETRY_MS,
    });
  };
  const leader = (cell: string): rpcClient.SchedulerClient => {
    if (!document().cells.some((it) => it.cell === cell)) {
      throw errors.fail('notFound', `no cell ${cell}; nothing ran`, { field: 'cell' });
    }
    const record = liveView.leaderOf(live.entries(), cell);
    if (record !== undefined) return kit.clients.scheduler(record.url);
    throw errors.fail('notLeader', `cell ${cell} has no leader now; nothing ran`, {
      retryAfterMs: RETRY_MS,
    });
  };
  const jobs: callerApi.JobGateway = {
    submit: async (spec) => {
      const refused = jobAdmission.checkSpec(spec, document());
      if (refused !== undefined) throw refused;
      return (await leader(spec.cell).submit({ from: kit.sender(), spec })).job;
    },
    show: async (cell, jobId) => (await leader(cell).show({ from: kit.sender(), cell, jobId })).job,
    cancel: async (cell, jobIds) =>
      (await leader(cell).cancel({ from: kit.sender(), cell, jobIds: [...jobIds] })).jobs,
  };
  const operators: operatorApi.OperatorGateway = {
    configuration: () => kit.configuration.current(),
    writeConfiguration: async (change) => {
      const record = await configurationStore.writeConfiguration(
        target,
        change,
        kit.clock.wallMs(),
      );
      kit.configuration.offer(record);
      return record;
    },
    cells: () =>
      Promise.resolve(
        document().cells.map(({ cell, region }) => {
          const record = liveView.leaderOf(live.entries(), cell);
          const isLed = liveView.isLed(live.entries(), cell);
          const { leaderId = '', epoch = 0 } = record ?? {};
          return { cell, region, leaderId, epoch, isLed };
        }),
      ),
    cell: (cell) => leader(cell).cell({ from: kit.sender(), cell }),
    quarantine: (cell, workerId, isQuarantined, reason) =>
      leader(cell).quarantine({ from: kit.sender(), cell, workerId, isQuarantined, reason }),
    ledger: async (cell) => {
      const { entries } = await target.list(storeKeys.ledgerPrefix(cell));
      return entries.map((it) =>
        schemaIssues.decodeOrFail(ledgerEntry.LedgerHour, JSON.parse(it.value), 'ledger hour'),
      );
    },
  };
  return { jobs, operators };
};
