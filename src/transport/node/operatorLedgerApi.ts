/**
 * Operators' routes to the older part of the ledger and to service levels; the hours themselves are
 * answered by `operatorApi`.
 */
import type * as serviceLevelReport from '../../coordination/common/serviceLevelReport.js';
import type * as ledgerEntry from '../../state/common/ledgerEntry.js';
import * as httpServer from './httpServer.js';
import type * as operatorRoutes from './operatorRoutes.js';

/** What the routes stand on. */
export interface LedgerGateway {
  readonly ledgerDays: (cell: string) => Promise<readonly ledgerEntry.LedgerDay[]>;
  readonly serviceLevels: () => Promise<serviceLevelReport.ServiceLevelReport>;
}

/**
 * @param gateway - what the routes stand on
 * @returns the routes
 */
export const createLedgerRoutes = (gateway: LedgerGateway): readonly operatorRoutes.Route[] => [
  {
    method: 'GET',
    pattern: '/api/ledger-days/:cell',
    role: 'read',
    handle: async ({ param }) =>
      httpServer.jsonReply({ days: await gateway.ledgerDays(param('cell')) }),
  },
  {
    method: 'GET',
    pattern: '/api/burn',
    role: 'read',
    handle: async () => httpServer.jsonReply(await gateway.serviceLevels()),
  },
];
