/**
 * The order of configuration versions, by which every hop decides what it takes.
 */
import type * as configuration from '../../state/common/configuration.js';

/** What tells two records apart. */
export type VersionMark = Pick<configuration.ConfigurationRecord, 'version' | 'writeId'>;

/** How one record stands to another. */
export const Order = {
  newer: 'newer',
  same: 'same',
  older: 'older',
  /** The same version with another write id: one of the two was never accepted, or was lost. */
  forked: 'forked',
} as const;

/** One of the values of {@link Order}. */
export type Order = (typeof Order)[keyof typeof Order];

/**
 * @param offered - a record, undefined where there is none
 * @param held - the record in force, undefined before the first
 * @returns how the offered one stands to the held one
 */
export const orderOf = (offered: VersionMark | undefined, held: VersionMark | undefined): Order => {
  const offeredVersion = offered?.version ?? 0;
  const heldVersion = held?.version ?? 0;
  if (offeredVersion > heldVersion) return Order.newer;
  if (offeredVersion < heldVersion) return Order.older;
  return offered?.writeId === held?.writeId ? Order.same : Order.forked;
};

/**
 * @param stored - what a read of the store gave that began after `held` was in force
 * @param held - the record in force
 * @returns whether the store was restored from an older state: whatever is in force stood there
 */
export const isRestored = (
  stored: VersionMark | undefined,
  held: VersionMark | undefined,
): boolean => {
  const order = orderOf(stored, held);
  return order === Order.older || order === Order.forked;
};
