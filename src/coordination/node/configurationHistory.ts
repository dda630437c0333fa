/**
 * Stores earlier versions of the configuration for audits.
 *
 * The active version has one key. Before a writer replaces it, it copies it to a separate key, so a
 * crash between the two writes loses nothing: the old version is either still active or archived.
 * The copy is written only if there is none, so concurrent writers write the same bytes.
 */
import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as configuration from '../../state/common/configuration.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';

/**
 * Number of retained versions: four days with 250 changes a day. At 30 KB a document this takes
 * 30 MB of the store, which the platform limits. For longer audits, export the history regularly.
 */
export const HISTORY_VERSIONS = 1000;

/** Old versions removed per write: two, to catch up after a failed removal. */
const PRUNED_AT_ONCE = 2;

const MAX_ARCHIVE_ATTEMPTS = 3;

/**
 * @param value - text from the store
 * @returns the record
 * @throws AuburnliftError `invalidRequest` if it is not a configuration record
 */
export const decodeRecord = (value: string): configuration.ConfigurationRecord =>
  schemaIssues.decodeOrFail(
    configuration.ConfigurationRecord,
    JSON.parse(value),
    'configuration record',
  );

/**
 * @param target - the store
 * @param version - an earlier version
 * @returns its record, undefined if it is not retained
 */
export const readArchived = async (
  target: store.Store,
  version: number,
): Promise<configuration.ConfigurationRecord | undefined> => {
  const entry = await target.get(storeKeys.configurationHistoryKey(version));
  return entry === undefined ? undefined : decodeRecord(entry.value);
};

const restoredStoreError = (record: configuration.ConfigurationRecord): errors.AuburnliftError =>
  errors.fail(
    'conflict',
    `the store holds another version ${record.version} in its history: it was restored from an ` +
      'older state; nothing was written',
    { field: 'baseVersion' },
  );

/**
 * Copies the active version to the history. The write is idempotent, so it is retried after a lost
 * reply.
 *
 * @param target - the store
 * @param record - the version that is about to be replaced
 * @throws AuburnliftError `conflict` if the history has another record of the version,
 *   `storeUnavailable` if the copy may be missing
 */
export const archive = async (
  target: store.Store,
  record: configuration.ConfigurationRecord,
): Promise<void> => {
  const key = storeKeys.configurationHistoryKey(record.version);
  const value = JSON.stringify(record);
  for (let attempt = 1; ; attempt += 1) {
    try {
      const expectedRevision = store.ABSENT_REVISION;
      const result = await target.compareAndSwap({ key, expectedRevision, value });
      if (result.isSwapped) return;
      const archived = result.current && decodeRecord(result.current.value);
      if (archived?.writeId !== record.writeId) throw restoredStoreError(record);
      return;
    } catch (thrown) {
      if (!(thrown instanceof store.StoreOutcomeUnknown)) throw thrown;
      if (attempt >= MAX_ARCHIVE_ATTEMPTS) {
        throw errors.fail('storeUnavailable', 'the history could not be written; nothing changed');
      }
    }
  }
};

/**
 * Removes versions beyond the limit. The next write catches up after a failure.
 *
 * @param target - the store
 * @param version - the active version
 */
export const prune = async (target: store.Store, version: number): Promise<void> => {
  const newest = version - HISTORY_VERSIONS;
  for (let old = newest; old > Math.max(0, newest - PRUNED_AT_ONCE); old -= 1) {
    const key = storeKeys.configurationHistoryKey(old);
    const entry = await target.get(key);
    if (entry === undefined) return;
    await target.compareAndSwap({ key, expectedRevision: entry.revision, value: null });
  }
};

/** Versions per listing, each read by a separate call, as documents may be large. */
const LISTED_VERSIONS = 50;

/**
 * @param target - the store
 * @param active - the active version
 * @returns the active and earlier versions, newest first, at most 50
 */
export const listVersions = async (
  target: store.Store,
  active: configuration.ConfigurationRecord,
): Promise<readonly configuration.ConfigurationRecord[]> => {
  const records = [active];
  while (records.length < LISTED_VERSIONS) {
    const version = active.version - records.length;
    if (version <= configuration.NO_VERSION) break;
    const record = await readArchived(target, version);
    if (record === undefined) break;
    records.push(record);
  }
  return records;
};
