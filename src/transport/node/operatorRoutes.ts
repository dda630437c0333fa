/**
 * The table of the operators' routes: method, path pattern, role and handler.
 */
import * as errors from '../../base/common/errors.js';
import type * as httpServer from './httpServer.js';
import * as operatorAuth from './operatorAuth.js';

/** What a handler is given. */
export interface RouteContext {
  readonly operator: operatorAuth.Operator;
  readonly request: httpServer.ServerRequest;
  /** Value of a `:name` in the pattern, decoded. */
  readonly param: (name: string) => string;
}

/** One route. */
export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST';
  /** Path with `:name` for a part that varies. */
  readonly pattern: string;
  readonly role: operatorAuth.Role;
  readonly handle: (context: RouteContext) => Promise<httpServer.ServerReply>;
}

type Params = ReadonlyMap<string, string>;

const decodePart = (part: string): string | undefined => {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
};

/**
 * @param pattern - path with `:name` for a part that varies
 * @param path - path of a request
 * @returns the values of the parts that vary, or undefined where the path is another one
 */
export const matchPath = (pattern: string, path: string): Params | undefined => {
  const expected = pattern.split('/');
  const given = path.split('/');
  if (expected.length !== given.length) return undefined;
  const params = new Map<string, string>();
  for (const [index, part] of expected.entries()) {
    const value = decodePart(given[index] ?? '');
    if (value === undefined) return undefined;
    if (part.startsWith(':')) {
      if (value === '') return undefined;
      params.set(part.slice(1), value);
    } else if (part !== value) return undefined;
  }
  return params;
};

/**
 * @param routes - the table
 * @param request - a request
 * @param identify - gives the operator; called before anything is told about the path
 * @returns the route's answer
 * @throws AuburnliftError `notFound`, or `forbidden` where the role does not suffice
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
