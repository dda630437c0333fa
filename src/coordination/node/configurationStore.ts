/**
 * Writes the configuration: compare-and-swap on the version that the author had before them.
 *
 * Guards against two operators who race (the second gets a conflict that names the version in
 * force) and against lost answers (the document is read back and its write id tells).
 */
import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as configuration from '../../state/common/configuration.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';

/** A change as an operator asks for it. */
export interface ConfigurationChange {
  /** Version that the author saw. */
  readonly baseVersion: number;
  readonly writeId: string;
  readonly author: string;
  readonly reason: string;
  readonly document: configuration.ConfigurationDocument;
}

const decode = (value: string): configuration.ConfigurationRecord =>
  schemaIssues.decodeOrFail(
    configuration.ConfigurationRecord,
    JSON.parse(value),
    'configuration record',
  );

const conflict = (current: configuration.ConfigurationRecord | undefined) =>
  errors.fail('conflict', `version ${current?.version ?? 0} is in force, not the one you saw`, {
    field: 'baseVersion',
    facts: { current },
  });

/**
 * @param target - the store
 * @param change - what the operator asks for
 * @param nowMs - wall time
 * @returns the record that is in force from now on
 * @throws AuburnliftError `conflict` with the current record in its facts, `storeUnavailable`
 *   where nothing was written, `outcomeUnknown` where nobody can say
 */
export const writeConfiguration = async (
  target: store.Store,
  change: ConfigurationChange,
  nowMs: number,
): Promise<configuration.ConfigurationRecord> => {
  const entry = await target.get(storeKeys.CONFIGURATION_KEY);
  const current = entry === undefined ? undefined : decode(entry.value);
  if (current?.writeId === change.writeId) return current;
  if ((current?.version ?? configuration.NO_VERSION) !== change.baseVersion) {
    throw conflict(current);
  }
  const { writeId, author, reason, document } = change;
  const version = change.baseVersion + 1;
  const record = { version, writeId, author, reason, writtenAtMs: nowMs, document };
  const value = JSON.stringify(record);
  const key = storeKeys.CONFIGURATION_KEY;
  try {
    const expectedRevision = entry?.revision ?? store.ABSENT_REVISION;
    const result = await target.compareAndSwap({ key, expectedRevision, value });
    if (!result.isSwapped) {
      throw conflict(result.current && decode(result.current.value));
    }
  } catch (thrown) {
    if (!(thrown instanceof store.StoreOutcomeUnknown)) throw thrown;
    await settle(target, record);
  }
  await target.compareAndSwap({
    key: storeKeys.configurationHistoryKey(version),
    expectedRevision: store.ABSENT_REVISION,
    value,
  });
  return record;
};

const settle = async (
  target: store.Store,
  record: configuration.ConfigurationRecord,
): Promise<void> => {
  let entry: store.StoreEntry | undefined;
  try {
    entry = await target.get(storeKeys.CONFIGURATION_KEY);
  } catch {
    throw errors.fail('outcomeUnknown', 'the store went away; look which version is in force');
  }
  const current = entry === undefined ? undefined : decode(entry.value);
  if (current?.writeId !== record.writeId) throw conflict(current);
};
