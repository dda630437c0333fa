/**
 * Authentication of operators by token: tokens are stored hashed, and checks of unknown tokens are limited.
 */
import * as crypto from 'node:crypto';
import * as util from 'node:util';

import * as errors from '../../base/common/errors.js';
import type * as settings from '../../state/common/settings.js';

/** Permission level of an operator. */
export type Role = settings.OperatorToken['role'];

/** An operator authenticated by a token. */
export interface Operator {
  readonly operatorId: string;
  readonly role: Role;
}

/** Returns the operator for a token. */
export type Authenticator = (token: string) => Promise<Operator>;

const HASH_BYTES = 32;
const TOKEN_PATTERN = /^[\x21-\x7e]{8,256}$/;

/**
 * Limits the cost of guessing tokens in a loop. Each attempt takes about 50 ms of CPU per known token; more
 * than two concurrent checks would occupy the thread pool that DNS look-ups and file access need.
 */
const MAX_CONCURRENT_CHECKS = 2;
const BUSY_RETRY_MS = 1000;

type Scrypt = (token: string, salt: Buffer, length: number) => Promise<Buffer>;
const scrypt = util.promisify(crypto.scrypt) as Scrypt;

const matchesToken = async (token: string, known: settings.OperatorToken): Promise<boolean> => {
  const hash = await scrypt(token, Buffer.from(known.saltHex, 'hex'), HASH_BYTES);
  return crypto.timingSafeEqual(hash, Buffer.from(known.hashHex, 'hex'));
};

/**
 * @param tokens - known tokens, hashed
 * @returns a function that returns the operator for a token; scrypt is slow by design, so tokens that
 *   were accepted are cached by a plain hash
 */
export const createAuthenticator = (tokens: readonly settings.OperatorToken[]): Authenticator => {
  const accepted = new Map<string, Operator>();
  let runningChecks = 0;
  const find = async (token: string): Promise<Operator | undefined> => {
    if (runningChecks >= MAX_CONCURRENT_CHECKS) {
      throw errors.fail('overloaded', 'too many tokens are being checked; nothing ran', {
        retryAfterMs: BUSY_RETRY_MS,
      });
    }
    runningChecks += 1;
    try {
      for (const it of tokens) if (await matchesToken(token, it)) return it;
      return undefined;
    } finally {
      runningChecks -= 1;
    }
  };
  return async (token) => {
    if (!TOKEN_PATTERN.test(token)) {
      throw errors.fail('unauthenticated', 'the token is missing or malformed');
    }
    const digest = crypto.createHash('sha256').update(token).digest('hex');
    const known = accepted.get(digest) ?? (await find(token));
    if (known === undefined) throw errors.fail('unauthenticated', 'the token is unknown');
    const { operatorId, role } = known;
    accepted.set(digest, { operatorId, role });
    return { operatorId, role };
  };
};

/**
 * @param header - an Authorization header
 * @returns its bearer token
 * @throws AuburnliftError `unauthenticated` if there is none
 */
export const bearerToken = (header: string | undefined): string => {
  const token = /^Bearer (\S+)$/.exec(header ?? '')?.[1];
  if (token !== undefined) return token;
  throw errors.fail('unauthenticated', 'send your token as Authorization: Bearer TOKEN');
};

/**
 * @param operator - the operator who sent the request
 * @param role - role that the operation requires
 * @throws AuburnliftError `forbidden` if the operation requires write and the operator may only read
 */
export const assertRole = (operator: Operator, role: Role): void => {
  if (role === 'read' || operator.role === 'write') return;
  throw errors.fail('forbidden', `operator ${operator.operatorId} may only read; nothing ran`);
};
