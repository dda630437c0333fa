/**
 * Addresses of the entries and schedulers on other machines, read from the store every few seconds and retained
 * while the store is unavailable, which is when a process needs its peers.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import * as addressRecord from '../../common/pool/addressRecord.js';

/** Dependencies of the directory. */
export interface PeerDirectoryOptions {
  readonly store: Pick<recordStore.RecordStore, 'list'>;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** This process's own address, which is excluded. */
  readonly ownUrl: string;
}

/** Addresses of other processes. */
export interface PeerDirectory extends disposable.Disposable {
  readonly urls: (role: poolKeys.PeerRole) => readonly string[];
}

/** Polling interval: bounds the time until an added or replaced machine is known. */
const PERIOD_MS = 5000;

/** Shorter interval after start-up, until all processes that start together have written their records. */
const INITIAL_PERIOD_MS = 1000;

/** Number of reads at the shorter interval. */
const INITIAL_READS = 5;

const RETRY_MS = 1000;

/**
 * @param options - its dependencies
 * @returns the directory, which polls the store until it is disposed
 */
export const startPeerDirectory = (options: PeerDirectoryOptions): PeerDirectory => {
  let isDisposed = false;
  let urlsByKey = new Map<string, string>();
  let reads = 0;

  const refresh = async (): Promise<void> => {
    const { entries } = await options.store.list(poolKeys.PEERS);
    const next = new Map<string, string>();
    for (const { key, value } of entries) {
      const url = addressRecord.parseAddressRecord(value);
      if (url !== undefined && url !== options.ownUrl) next.set(key, url);
    }
    urlsByKey = next;
    reads += 1;
  };

  const run = async (): Promise<void> => {
    let isFailing = false;
    while (!isDisposed) {
      let waitMs = reads < INITIAL_READS ? INITIAL_PERIOD_MS : PERIOD_MS;
      try {
        await refresh();
        isFailing = false;
      } catch (thrown) {
        if (!isFailing) {
          options.log('warn', 'peersNotRead', { reason: errors.normalize(thrown).message });
        }
        isFailing = true;
        waitMs = RETRY_MS;
      }
      await clock.sleep(options.clock, waitMs);
    }
  };
  void run();
  return {
    urls: (role) =>
      [...urlsByKey]
        .filter(([key]) => key.startsWith(poolKeys.peerKey(role, '')))
        .map(([, url]) => url),
    dispose: () => {
      isDisposed = true;
    },
  };
};
