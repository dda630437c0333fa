/**
 * What the console's pages are given.
 */
import type * as serviceLevelReport from '../../../coordination/common/serviceLevelReport.js';
import type * as httpServer from '../httpServer.js';
import type * as operatorGateway from '../operatorGateway.js';
import type * as layout from './layout.js';
import type * as session from './session.js';

/** What the pages stand on. */
export interface ConsoleOptions {
  readonly gateway: operatorGateway.OperatorGateway;
  readonly newId: () => string;
  readonly serviceLevels: () => Promise<serviceLevelReport.ServiceLevelReport>;
}

/** One request of somebody who is signed in. */
export interface PageContext {
  readonly options: ConsoleOptions;
  readonly session: session.Session;
  readonly visitor: layout.Visitor;
  /** Fields of a post; empty for a get. */
  readonly form: URLSearchParams;
  readonly query: URLSearchParams;
  /** Value of a `:name` in the pattern. */
  readonly param: (name: string) => string;
}

/** One page or form of the console. */
export interface ConsoleRoute {
  readonly method: 'GET' | 'POST';
  readonly pattern: string;
  readonly handle: (context: PageContext) => Promise<httpServer.ServerReply>;
}
