/**
 * Writes the configuration by compare-and-swap on the version that the author edited.
 *
 * Guards against
 * - two operators who write concurrently: the second gets a conflict with the active version;
 * - a lost reply: the same swap is sent again, which either takes effect or returns the current
 *   record; a swap that arrives late finds another revision and changes nothing;
 * - a lost reply followed by another write: the history shows whether ours was accepted, since a
 *   writer archives the version that it replaces;
 * - a store that was restored from an older state: writes are rejected.
 */
import * as errors from '../../base/common/errors.js';
import * as configuration from '../../state/common/configuration.js';
import * as configurationChecks from '../../state/common/configurationChecks.js';
import * as configurationDifference from '../../state/common/configurationDifference.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as configurationOrder from '../common/configurationOrder.js';

import * as configurationHistory from './configurationHistory.js';

/** A configuration change requested by an operator. */
export interface ConfigurationChange {
  /** Version that the author edited. */
  readonly baseVersion: number;
  readonly writeId: string;
  readonly author: string;
  readonly reason: string;
  readonly document: configuration.ConfigurationDocument;
}

type ConfigurationRecord = configuration.ConfigurationRecord;

/** Attempts of the same swap before the outcome is reported as unknown. */
const MAX_SWAP_ATTEMPTS = 3;

const conflict = (change: ConfigurationChange, current: ConfigurationRecord | undefined) =>
  errors.fail(
    'conflict',
    `version ${current?.version ?? 0} by ${current?.author ?? 'nobody'} is active, not version ` +
      `${change.baseVersion} that you edited; nothing was written`,
    { field: 'baseVersion', facts: { current, yours: change } },
  );

const unknown = (change: ConfigurationChange) =>
  errors.fail(
    'outcomeUnknown',
    'the store did not reply; send the same change with the same write id again',
    { facts: { writeId: change.writeId, baseVersion: change.baseVersion } },
  );

const assertNotRestored = (
  current: ConfigurationRecord | undefined,
  known: configurationOrder.VersionMark | undefined,
): void => {
  if (known === undefined || !configurationOrder.isRestored(current, known)) return;
  throw errors.fail(
    'conflict',
    `the store holds version ${current?.version ?? 0}, but version ${known.version} is active: ` +
      'the store was restored from an older state; nothing was written',
    { field: 'baseVersion' },
  );
};

const read = async (
  target: store.Store,
): Promise<{ entry: store.StoreEntry | undefined; current: ConfigurationRecord | undefined }> => {
  const entry = await target.get(storeKeys.CONFIGURATION_KEY);
  const current = entry === undefined ? undefined : configurationHistory.decodeRecord(entry.value);
  return { entry, current };
};

/**
 * Guards against a form that is submitted, edited and submitted again with the same write id: it
 * would be reported as accepted although only the first document was.
 */
const assertSameChange = (
  accepted: ConfigurationRecord,
  change: ConfigurationChange,
): ConfigurationRecord => {
  const changes = configurationDifference.compareDocuments(accepted.document, change.document);
  if (changes.length === 0) return accepted;
  throw errors.fail(
    'conflict',
    `the write id was accepted with another document as version ${accepted.version}; nothing was ` +
      'written',
    { field: 'writeId', facts: { current: accepted, yours: change } },
  );
};

/** Finds the record of an earlier accepted attempt, even if another write has followed it. */
const findAccepted = async (
  target: store.Store,
  change: ConfigurationChange,
  current: ConfigurationRecord | undefined,
): Promise<ConfigurationRecord | undefined> => {
  if (current?.writeId === change.writeId) return assertSameChange(current, change);
  const version = change.baseVersion + 1;
  if (current === undefined || current.version <= version) return undefined;
  const archived = await configurationHistory.readArchived(target, version);
  return archived?.writeId === change.writeId ? assertSameChange(archived, change) : undefined;
};

const swap = async (
  target: store.Store,
  change: ConfigurationChange,
  record: ConfigurationRecord,
  expectedRevision: number,
): Promise<ConfigurationRecord> => {
  const key = storeKeys.CONFIGURATION_KEY;
  const value = JSON.stringify(record);
  let isUncertain = false;
  for (let attempt = 1; attempt <= MAX_SWAP_ATTEMPTS; attempt += 1) {
    try {
      const result = await target.compareAndSwap({ key, expectedRevision, value });
      if (result.isSwapped) return record;
      const current = result.current && configurationHistory.decodeRecord(result.current.value);
      const accepted = await findAccepted(target, change, current);
      if (accepted !== undefined) return accepted;
      throw conflict(change, current);
    } catch (thrown) {
      const isLost = thrown instanceof store.StoreOutcomeUnknown;
      const isDown = errors.isKnown(thrown) && thrown.kind === 'storeUnavailable';
      if (!isLost && !(isDown && isUncertain)) throw thrown;
      isUncertain = true;
    }
  }
  throw unknown(change);
};

/**
 * @param target - the store
 * @param change - the operator's change
 * @param nowMs - wall time
 * @param known - the writer's active version, if any
 * @returns the accepted record; for a write id that was accepted before, the earlier record
 * @throws AuburnliftError `invalidRequest` with each problem, `conflict` with both changes in its
 *   facts, `storeUnavailable` if nothing was written, `outcomeUnknown` if that is not known yet
 */
export const writeConfiguration = async (
  target: store.Store,
  change: ConfigurationChange,
  nowMs: number,
  known?: configurationOrder.VersionMark,
): Promise<ConfigurationRecord> => {
  configurationChecks.assertDocument(change.document);
  const { entry, current } = await read(target);
  assertNotRestored(current, known);
  const accepted = await findAccepted(target, change, current);
  if (accepted !== undefined) return accepted;
  if ((current?.version ?? configuration.NO_VERSION) !== change.baseVersion) {
    throw conflict(change, current);
  }
  const { writeId, author, reason, document } = change;
  const version = change.baseVersion + 1;
  const record = { version, writeId, author, reason, writtenAtMs: nowMs, document };
  if (current !== undefined) await configurationHistory.archive(target, current);
  const written = await swap(target, change, record, entry?.revision ?? store.ABSENT_REVISION);
  // The change is durable; if pruning fails, the next write prunes.
  await configurationHistory.prune(target, written.version).catch(() => undefined);
  return written;
};
