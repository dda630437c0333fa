/**
 * Operators' routes to the older part of the ledger and to service levels; the hours themselves are
 * answered by `operatorApi`.
 */
import type * as serviceLevelReport from '../../coordination/common/serviceLevelReport.js';
import type * as ledgerEntry from '../../state/common/ledgerEntry.js';
import * as httpServer from './httpServer.js';

/** What the routes stand on. */
export interface LedgerGateway {
  readonly ledgerDays: (cell: string) => Promise<readonly ledgerEntry.LedgerDay[]>;
  readonly serviceLevels: () => Promise<serviceLevelReport.ServiceLevelReport>;
}

/**
 * @param gateway - what the routes stand on
 * @returns the handler of the routes; it gives undefined for other paths
 */
export const createOperatorLedgerApi =
  (gateway: LedgerGateway) =>
  async (request: httpServer.ServerRequest): Promise<httpServer.ServerReply | undefined> => {
    const [, , topic, name] = request.path.split('/');
    switch (`${request.method} ${topic ?? ''}`) {
      case 'GET ledger-days':
        if (name === undefined) return undefined;
        return httpServer.jsonReply({ days: await gateway.ledgerDays(decodeURIComponent(name)) });
      case 'GET burn':
        return httpServer.jsonReply(await gateway.serviceLevels());
      default:
        return undefined;
    }
  };
