/**
 * Follows the operators' evacuations in the store: one record for each evacuated zone, removed to take the zone back.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';
import type * as evacuations from '../../common/pool/evacuations.js';

import * as prefixWatch from './prefixWatch.js';
import * as snapshotAge from './snapshotAge.js';

/** What a deployment promises about evacuations. */
export interface EvacuationLimits {
  /** Prefix of the records; the rest of a key is the zone's name. */
  readonly prefix: string;
  /** Nothing starts in a zone later than this after its record is stored. */
  readonly maxStartMs: number;
  /** The deployment's zones, to report records of others; empty where they are not known. */
  readonly zones: readonly string[];
}

/** Dependencies of the feed. */
export interface EvacuationFeedOptions extends EvacuationLimits {
  readonly store: Pick<recordStore.RecordStore, 'list' | 'watch'>;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** The first reading is complete, or a zone was evacuated or taken back. */
  readonly onDidChange: () => void;
}

/** The evacuations as this process knows them. */
export type EvacuationFeed = evacuations.Evacuations & disposable.Disposable;

/**
 * Longest wait of a watch. With a second for the answer, a lost watch is followed by a reading within the promised time of
 * some seconds.
 */
const MAX_WATCH_MS = 800;

/** Share of the time for which the knowledge suffices that a watch waits at most. */
const WATCH_SHARE = 0.25;

/** Short wait of a watch that confirms the copy as current immediately, after a reading and after a change. */
const CONFIRM_WATCH_MS = 50;

/** Delay after a failed call. */
const RETRY_MS = 200;

/**
 * Part of the promised time that is left for a start to arrive, and for watches that report nothing for up to a second
 * while changes are made.
 */
const MAX_START_RESERVE_MS = 1500;

/** Largest share of the promised time for this reserve: with more, a short promise would let nothing start. */
const START_RESERVE_SHARE = 0.3;

/**
 * @param options - its dependencies
 * @returns the feed, which follows the evacuations until it is disposed
 */
export const startEvacuationFeed = (options: EvacuationFeedOptions): EvacuationFeed => {
  const { clock: time, log, prefix } = options;
  const zones = new Set<string>();
  const reportedKeys = new Set<string>();
  const age = snapshotAge.createSnapshotAge(time);
  const aborter = new AbortController();
  const reserveMs = Math.min(MAX_START_RESERVE_MS, options.maxStartMs * START_RESERVE_SHARE);
  const maxAgeMs = options.maxStartMs - reserveMs;
  let isAnswered = true;

  const reportOnce = (key: string, event: string): void => {
    if (reportedKeys.has(key)) return;
    reportedKeys.add(key);
    log('error', event, { key });
  };

  /** @returns the zone, or undefined where the key names none */
  const zoneOf = (key: string): string | undefined => {
    const zone = key.slice(prefix.length);
    if (zone === '' || zone.includes('/')) {
      reportOnce(key, 'evacuationUnreadable');
      return undefined;
    }
    if (options.zones.length > 0 && !options.zones.includes(zone)) {
      reportOnce(key, 'evacuationOfUnknownZone');
    }
    return zone;
  };

  const evacuate = ({ key, revision }: store.StoreEntry): boolean => {
    const zone = zoneOf(key);
    if (zone === undefined || zones.has(zone)) return false;
    zones.add(zone);
    log('info', 'zoneEvacuated', { zone, revision });
    return true;
  };

  const takeBack = (key: string): boolean => {
    const zone = key.slice(prefix.length);
    if (!zones.delete(zone)) return false;
    log('info', 'zoneTakenBack', { zone });
    return true;
  };

  const applyChanges = (entries: readonly store.StoreEntry[], keys: readonly string[]): void => {
    const changes = [...entries.map(evacuate), ...keys.map(takeBack)];
    if (changes.includes(true)) options.onDidChange();
  };

  const recordAnswer = (): void => {
    if (!isAnswered) log('info', 'evacuationStoreAnswers', { ageMs: Math.round(age.ageMs()) });
    isAnswered = true;
  };

  /** @returns the revision of the reading */
  const read = async (): Promise<number> => {
    const isFirst = age.ageMs() === Infinity;
    const sentAt = age.now();
    const { entries, revision } = await options.store.list(prefix);
    if (aborter.signal.aborted) return revision;
    const listed = new Set(entries.map((it) => it.key));
    const removed = [...zones].map((it) => `${prefix}${it}`).filter((it) => !listed.has(it));
    age.confirm(sentAt);
    applyChanges(entries, removed);
    recordAnswer();
    if (isFirst) options.onDidChange();
    return revision;
  };

  /** Follows changes until a watch fails or the store no longer retains them. */
  const follow = (afterRevision: number): Promise<void> =>
    prefixWatch.followPrefix(
      {
        store: options.store,
        prefix,
        waitMs: Math.min(MAX_WATCH_MS, Math.floor(maxAgeMs * WATCH_SHARE)),
        confirmWaitMs: CONFIRM_WATCH_MS,
        signal: aborter.signal,
        age,
        onDidSee: (seen) => applyChanges(seen.entries, seen.deletedKeys),
      },
      afterRevision,
    );

  const run = async (): Promise<void> => {
    while (!aborter.signal.aborted) {
      try {
        await follow(await read());
      } catch (thrown) {
        if (aborter.signal.aborted) return;
        if (isAnswered) {
          log('warn', 'evacuationStoreLost', { reason: errors.normalize(thrown).message });
        }
        isAnswered = false;
        await clock.sleep(time, RETRY_MS);
      }
    }
  };
  void run();
  return {
    zones,
    startsUntilMs: () => time.monotonicMs() + maxAgeMs - age.ageMs(),
    dispose: () => aborter.abort(),
  };
};
