/**
 * Types shared by the console's pages: options, request context and route.
 */
import type * as serviceLevelReport from '../../../coordination/common/serviceLevelReport.js';
import type * as httpServer from '../httpServer.js';
import type * as operatorGateway from '../operatorGateway.js';
import type * as layout from './layout.js';
import type * as session from './session.js';

/** Dependencies of the pages. */
export interface ConsoleOptions {
  readonly gateway: operatorGateway.OperatorGateway;
  readonly newId: () => string;
  readonly serviceLevels: () => Promise<serviceLevelReport.ServiceLevelReport>;
}

/** A request of a signed-in operator. */
export interface PageContext {
  readonly options: ConsoleOptions;
  readonly session: session.Session;
  readonly visitor: layout.Visitor;
  /** Fields of a POST; empty for a GET. */
  readonly form: URLSearchParams;
  readonly query: URLSearchParams;
  /** Value of a `:name` segment of the pattern. */
  readonly param: (name: string) => string;
}

/** Route of a page or form. */
export interface ConsoleRoute {
  readonly method: 'GET' | 'POST';
  readonly pattern: string;
  readonly handle: (context: PageContext) => Promise<httpServer.ServerReply>;
}
