/**
 * Reads records from a snapshot of the store's live prefix.
 */
import type * as Schema from 'effect/Schema';

import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as configuration from '../../state/common/configuration.js';
import * as liveRecords from '../../state/common/liveRecords.js';
import type * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';

/** Entries of the live prefix by key. */
export type LiveEntries = ReadonlyMap<string, store.StoreEntry>;

/** An invalid record counts as absent, so that it does not stop a process that reads it. */
const read = <T>(
  schema: Schema.Codec<T, unknown, never, never>,
  entry: store.StoreEntry | undefined,
): T | undefined => {
  if (entry === undefined) return undefined;
  try {
    const decoded = schemaIssues.decode(schema, JSON.parse(entry.value));
    return decoded.isValid ? decoded.value : undefined;
  } catch {
    return undefined;
  }
};

/**
 * @param entries - the live prefix
 * @returns the stored configuration; undefined where it is absent or invalid
 */
export const configurationOf = (
  entries: LiveEntries,
): configuration.ConfigurationRecord | undefined =>
  read(configuration.ConfigurationRecord, entries.get(storeKeys.CONFIGURATION_KEY));

/**
 * @param entries - the live prefix
 * @param cell - availability zone
 * @returns the current or last leader of the cell
 */
export const leaderOf = (
  entries: LiveEntries,
  cell: string,
): liveRecords.LeaderRecord | undefined =>
  read(liveRecords.LeaderRecord, entries.get(storeKeys.leaderKey(cell)));

/**
 * @param entries - the live prefix
 * @param cell - availability zone
 * @returns whether the cell's leader still holds its lease
 */
export const isLed = (entries: LiveEntries, cell: string): boolean =>
  entries.has(storeKeys.leaderLeaseKey(cell));

/**
 * @param entries - the live prefix
 * @param role - role of the processes
 * @returns the live processes of the role
 */
export const processesOf = (
  entries: LiveEntries,
  role: liveRecords.ProcessRecord['role'],
): readonly liveRecords.ProcessRecord[] => {
  const prefix = storeKeys.processKey(role, '');
  return [...entries.values()]
    .filter((it) => it.key.startsWith(prefix))
    .map((it) => read(liveRecords.ProcessRecord, it))
    .filter((it) => it !== undefined);
};
