/**
 * The error type with a kind of the closed list, and its wire format.
 */
import * as modernErrors from 'modern-errors';

import * as errorKinds from './errorKinds.js';

/** Details of an error besides its kind and message. */
export interface ErrorDetail {
  /** Path of the invalid field, `customers[0].id`. */
  readonly field?: string;
  /** Delay after which the sender may retry. */
  readonly retryAfterMs?: number;
  /** Further machine-readable data, such as the two sides of a conflict. */
  readonly facts?: Readonly<Record<string, unknown>>;
}

/** Wire format of an error, between processes and to callers. */
export interface ErrorBody extends ErrorDetail {
  readonly kind: errorKinds.ErrorKind;
  readonly message: string;
  readonly ran: errorKinds.Ran;
  readonly isRetryable: boolean;
}

const UNSET_KIND: errorKinds.ErrorKind = 'internal';
const UNSET_DETAIL: ErrorDetail = {};

const KnownError = modernErrors.default.subclass('AuburnliftError', {
  props: { kind: UNSET_KIND, detail: UNSET_DETAIL },
});

/** An error of a known kind. Anything else that is thrown is a defect and reported as `internal`. */
export interface AuburnliftError extends Error {
  readonly kind: errorKinds.ErrorKind;
  readonly detail: ErrorDetail;
}

/**
 * @param thrown - anything caught
 * @returns whether its kind is known
 */
export const isKnown = (thrown: unknown): thrown is AuburnliftError => thrown instanceof KnownError;

/**
 * @param kind - one of the closed list
 * @param message - one sentence for people, without secrets
 * @param detail - the field, the retry delay in milliseconds and facts, where they apply
 * @returns the error, to be thrown or stored
 */
export const fail = (
  kind: errorKinds.ErrorKind,
  message: string,
  detail: ErrorDetail = {},
): AuburnliftError => new KnownError(message, { props: { kind, detail } });

/**
 * @param thrown - anything caught
 * @returns the same error where its kind is known, otherwise an `internal` one
 */
export const normalize = (thrown: unknown): AuburnliftError => {
  if (isKnown(thrown)) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return fail('internal', message);
};

/**
 * @param error - an error of a known kind
 * @returns its wire format
 */
export const toBody = (error: AuburnliftError): ErrorBody => {
  const { isRetryable, ran } = errorKinds.ERROR_TABLE[error.kind];
  return { kind: error.kind, message: error.message, ran, isRetryable, ...error.detail };
};

/**
 * @param body - an error body received from another process
 * @returns the error; an unknown kind becomes `internal`, whose outcome is unknown
 */
export const fromBody = (body: unknown): AuburnliftError => {
  if (typeof body !== 'object' || body === null) return fail('internal', 'error body is missing');
  const { kind, message, field, retryAfterMs, facts } = body as Partial<ErrorBody>;
  if (!errorKinds.isErrorKind(kind)) return fail('internal', `unknown error kind: ${String(kind)}`);
  return fail(kind, String(message), {
    ...(field === undefined ? {} : { field }),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(facts === undefined ? {} : { facts }),
  });
};
