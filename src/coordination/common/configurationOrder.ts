/**
 * Order of configuration versions, by which every hop decides whether to apply one.
 */
import type * as configuration from '../../state/common/configuration.js';

/** Identity of a configuration record. */
export type VersionMark = Pick<configuration.ConfigurationRecord, 'version' | 'writeId'>;

/** Order of one record relative to another. */
export const Order = {
  newer: 'newer',
  same: 'same',
  older: 'older',
  /** Same version, another write id: one of the two was never accepted, or was lost. */
  forked: 'forked',
} as const;

/** One of the values of {@link Order}. */
export type Order = (typeof Order)[keyof typeof Order];

/**
 * @param offered - a record, undefined where there is none
 * @param held - the active record, undefined before the first
 * @returns the order of the offered record relative to the active one
 */
export const orderOf = (offered: VersionMark | undefined, held: VersionMark | undefined): Order => {
  const offeredVersion = offered?.version ?? 0;
  const heldVersion = held?.version ?? 0;
  if (offeredVersion > heldVersion) return Order.newer;
  if (offeredVersion < heldVersion) return Order.older;
  return offered?.writeId === held?.writeId ? Order.same : Order.forked;
};

/**
 * @param stored - the result of a store read that began after `held` became active
 * @param held - the active record
 * @returns whether the store was restored: every active record was once stored there
 */
export const isRestored = (
  stored: VersionMark | undefined,
  held: VersionMark | undefined,
): boolean => {
  const order = orderOf(stored, held);
  return order === Order.older || order === Order.forked;
};
