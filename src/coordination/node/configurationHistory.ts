/**
 * Earlier versions of the configuration, kept for the audit.
 *
 * The version in force stands under one key. Before a writer replaces it, it copies it to a key of
 * its own; a crash between the two writes therefore loses nothing, as either the old version still
 * stands in force or its copy is there. The copy is written only where none is, so writers who race
 * write the same bytes.
 */
import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as configuration from '../../state/common/configuration.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';

/**
 * Versions kept. Four days of 250 changes; at 30 KB a document, 30 MB of the store, which the
 * platform bounds. Auditors who need longer read the history regularly.
 */
export const HISTORY_VERSIONS = 1000;

/** Old versions removed with one write: two, so that a removal that failed is made up for. */
const PRUNED_AT_ONCE = 2;

const ARCHIVE_TRIES = 3;

/**
 * @param value - text from the store
 * @returns the record
 * @throws AuburnliftError `invalidRequest` where it is no configuration record
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
 * @returns its record, undefined where it is not kept
 */
export const readArchived = async (
  target: store.Store,
  version: number,
): Promise<configuration.ConfigurationRecord | undefined> => {
  const entry = await target.get(storeKeys.configurationHistoryKey(version));
  return entry === undefined ? undefined : decodeRecord(entry.value);
};

const restored = (record: configuration.ConfigurationRecord): errors.AuburnliftError =>
  errors.fail(
    'conflict',
    `the store holds another version ${record.version} in its history: it was restored from an ` +
      'older state; nothing was written',
    { field: 'baseVersion' },
  );

/**
 * Copies the version in force to the history. Writing it again changes nothing, so a lost answer is
 * settled by trying once more.
 *
 * @param target - the store
 * @param record - the version that is about to be replaced
 * @throws AuburnliftError `conflict` where the history has another record of the version,
 *   `storeUnavailable` where the copy may be missing
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
      const there = result.current && decodeRecord(result.current.value);
      if (there?.writeId !== record.writeId) throw restored(record);
      return;
    } catch (thrown) {
      if (!(thrown instanceof store.StoreOutcomeUnknown)) throw thrown;
      if (attempt >= ARCHIVE_TRIES) {
        throw errors.fail('storeUnavailable', 'the history could not be written; nothing changed');
      }
    }
  }
};

/**
 * Removes versions beyond the bound. What fails is made up for by the next write.
 *
 * @param target - the store
 * @param version - the version in force
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

/** Versions that one listing reads, each by a call of its own: documents may be large. */
const LISTED_VERSIONS = 50;

/**
 * @param target - the store
 * @param inForce - the version in force
 * @returns it and the versions before it, newest first, at most fifty
 */
export const listVersions = async (
  target: store.Store,
  inForce: configuration.ConfigurationRecord,
): Promise<readonly configuration.ConfigurationRecord[]> => {
  const records = [inForce];
  while (records.length < LISTED_VERSIONS) {
    const version = inForce.version - records.length;
    if (version <= configuration.NO_VERSION) break;
    const record = await readArchived(target, version);
    if (record === undefined) break;
    records.push(record);
  }
  return records;
};
