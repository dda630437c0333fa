/**
 * Routing of operators' requests by method, path pattern and role.
 */
import * as errors from '../../base/common/errors.js';
import type * as httpServer from './httpServer.js';
import * as operatorAuth from './operatorAuth.js';

/** Input of a route handler. */
export interface RouteContext {
  readonly operator: operatorAuth.Operator;
  readonly request: httpServer.ServerRequest;
  /** Decoded value of a `:name` segment; empty if the pattern has none. */
  readonly param: (name: string) => string;
}

/** A route of the table. */
export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST';
  /** Path with `:name` for variable segments. */
  readonly pattern: string;
  readonly role: operatorAuth.Role;
  readonly handle: (context: RouteContext) => Promise<httpServer.ServerReply>;
}

type Params = ReadonlyMap<string, string>;

const decodeSegment = (segment: string): string | undefined => {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
};

/**
 * @param pattern - path with `:name` for variable segments
 * @param path - path of a request
 * @returns the decoded values of the variable segments, or undefined if the path does not match
 */
export const matchPath = (pattern: string, path: string): Params | undefined => {
  const expected = pattern.split('/');
  const given = path.split('/');
  if (expected.length !== given.length) return undefined;
  const params = new Map<string, string>();
  for (const [index, segment] of expected.entries()) {
    const value = decodeSegment(given[index] ?? '');
    if (value === undefined) return undefined;
    if (segment.startsWith(':')) {
      if (value === '') return undefined;
      params.set(segment.slice(1), value);
    } else if (segment !== value) return undefined;
  }
  return params;
};

/**
 * @param routes - the routes
 * @param request - a request
 * @param identify - authenticates the operator; called first, so that unknown callers learn nothing about paths
 * @returns the route's reply
 * @throws AuburnliftError `notFound`, or `forbidden` if the operator's role is insufficient
 */
export const dispatch = async (
  routes: readonly Route[],
  request: httpServer.ServerRequest,
  identify: () => Promise<operatorAuth.Operator>,
): Promise<httpServer.ServerReply> => {
  const operator = await identify();
  for (const route of routes) {
    const params =
      route.method === request.method ? matchPath(route.pattern, request.path) : undefined;
    if (params !== undefined) {
      operatorAuth.assertRole(operator, route.role);
      const param = (name: string): string => params.get(name) ?? '';
      return route.handle({ operator, request, param });
    }
  }
  throw errors.fail('notFound', `no page ${request.method} ${request.path}`, { field: 'path' });
};
