/**
 * Sessions of the console. Entries keep nothing, and the balancer sends each request to any of them,
 * so a session is a signed cookie that every entry can check: the key comes from the secret that
 * the system's processes share.
 *
 * Guards against forged posts from other sites: the cookie is not sent along with them
 * (SameSite=Strict), they lack the form's token, and their Origin is another one. Each suffices
 * where a browser fails at the others.
 */
import * as crypto from 'node:crypto';
import type * as nodeHttp from 'node:http';

import * as errors from '../../../base/common/errors.js';
import type * as operatorAuth from '../operatorAuth.js';

/** A session as the cookie says. */
export interface Session {
  readonly operator: operatorAuth.Operator;
  readonly expiresAtMs: number;
  /** Token that each form of the session carries. */
  readonly csrf: string;
}

/** What sessions need. */
export interface SessionOptions {
  /** Shared by the entries; never sent. */
  readonly peerSecret: string;
  readonly nowMs: () => number;
  /** Operators who still have a token, with their present role. */
  readonly operators: readonly operatorAuth.Operator[];
}

/** Makes and checks sessions. */
export interface Sessions {
  /** @returns the Set-Cookie header of a new session */
  readonly begin: (operator: operatorAuth.Operator, isSecure: boolean) => string;
  /** @returns the session, undefined where the cookie is missing, forged or over */
  readonly find: (headers: nodeHttp.IncomingHttpHeaders) => Session | undefined;
}

/** A working day; longer would outlive a lost laptop, shorter would lose half-filled forms. */
const SESSION_MS = 8 * 3_600_000;
const MS_PER_SECOND = 1000;
const COOKIE = 'auburnlift-session';
const KEY_BYTES = 32;

/** Ends the session in the browser. */
export const END_COOKIE = `${COOKIE}=; HttpOnly; SameSite=Strict; Path=/console; Max-Age=0`;

const isEqual = (given: string, expected: string): boolean => {
  const [a, b] = [given, expected].map((it) => crypto.createHash('sha256').update(it).digest());
  return a !== undefined && b !== undefined && crypto.timingSafeEqual(a, b);
};

const cookieOf = (headers: nodeHttp.IncomingHttpHeaders): string | undefined =>
  (headers.cookie ?? '')
    .split(';')
    .map((it) => it.trim())
    .find((it) => it.startsWith(`${COOKIE}=`))
    ?.slice(COOKIE.length + 1);

/**
 * @param options - what sessions need
 * @returns sessions
 */
export const createSessions = (options: SessionOptions): Sessions => {
  const derived = crypto.hkdfSync('sha256', options.peerSecret, '', 'console session', KEY_BYTES);
  const key = Buffer.from(derived);
  const sign = (text: string): string =>
    crypto.createHmac('sha256', key).update(text).digest('base64url');
  const parse = (text: string): { operatorId: string; expiresAtMs: number } =>
    JSON.parse(Buffer.from(text, 'base64url').toString('utf8')) as never;
  return {
    begin: ({ operatorId }, isSecure) => {
      const expiresAtMs = options.nowMs() + SESSION_MS;
      const nonce = crypto.randomUUID();
      const text = Buffer.from(JSON.stringify({ operatorId, expiresAtMs, nonce })).toString(
        'base64url',
      );
      const secure = isSecure ? '; Secure' : '';
      const maxAge = SESSION_MS / MS_PER_SECOND;
      const attributes = `HttpOnly; SameSite=Strict; Path=/console; Max-Age=${maxAge}${secure}`;
      return `${COOKIE}=${text}.${sign(text)}; ${attributes}`;
    },
    find: (headers) => {
      const [text = '', signature = ''] = (cookieOf(headers) ?? '').split('.');
      if (text === '' || !isEqual(signature, sign(text))) return undefined;
      const { operatorId, expiresAtMs } = parse(text);
      // A token that was taken from the settings ends its sessions too, and so does a role.
      const operator = options.operators.find((it) => it.operatorId === operatorId);
      if (operator === undefined || expiresAtMs <= options.nowMs()) return undefined;
      return { operator, expiresAtMs, csrf: sign(`form ${text}`) };
    },
  };
};

/**
 * @param headers - headers of a post
 * @throws AuburnliftError `forbidden` where it comes from another site or does not say from where
 */
export const assertOwnOrigin = (headers: nodeHttp.IncomingHttpHeaders): void => {
  const { origin, host } = headers;
  const isOwn = URL.canParse(origin ?? '') && new URL(origin ?? '').host === host;
  if (!isOwn) throw errors.fail('forbidden', 'the form was sent from another site; nothing ran');
};

/**
 * @param form - the fields of a post
 * @param session - the session
 * @throws AuburnliftError `forbidden` where the form's token is missing or another session's
 */
export const assertForm = (form: URLSearchParams, session: Session): void => {
  if (isEqual(form.get('csrf') ?? '', session.csrf)) return;
  throw errors.fail('forbidden', 'the form is not from this session; nothing ran');
};
