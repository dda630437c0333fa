/**
 * Operators' routes for the older part of the ledger, summed by day, and for service levels; `operatorApi`
 * serves the ledger's hours.
 */
import type * as serviceLevelReport from '../../coordination/common/serviceLevelReport.js';
import type * as ledgerEntry from '../../state/common/ledgerEntry.js';
import * as httpServer from './httpServer.js';
import type * as operatorRoutes from './operatorRoutes.js';

/** Operations that the routes use. */
export interface LedgerGateway {
  readonly ledgerDays: (cell: string) => Promise<readonly ledgerEntry.LedgerDay[]>;
  readonly serviceLevels: () => Promise<serviceLevelReport.ServiceLevelReport>;
}

/**
 * @param gateway - operations that the routes use
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
