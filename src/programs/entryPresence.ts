/**
 * Lets agents notice at once that an entry has restarted, without frequent registrations: each agent
 * keeps one request open at each entry of its region, which the entry answers after half a minute.
 * When the entry dies the connection breaks, and the agent registers as soon as the entry is back.
 *
 * Guards against an entry that knows no upstream for up to a registration period after its restart
 * and refuses everything meanwhile. Costs one plain exchange per agent and half a minute.
 */
import type * as clock from '../base/common/clock.js';
import type * as disposable from '../base/common/disposable.js';
import * as http from '../base/common/http.js';
import * as random from '../base/common/random.js';
import type * as httpServer from '../transport/node/httpServer.js';

/** Path at the entry. */
export const PRESENCE_PATH = '/presence';

/** Time after which the entry answers; below the age at which connections are given up. */
const HOLD_MS = 30_000;

/** Spread of registrations after a restart: all agents of a region notice at the same moment. */
const RETURN_SPREAD_MS = 1000;

/** Wait before the entry is tried again while it does not accept connections. */
const RETRY_MS = 500;

const TIMEOUT_MS = HOLD_MS + 5000;

/** The entry's side: requests that are held. Disposing answers them all. */
export interface PresenceHolder extends disposable.Disposable {
  readonly hold: () => Promise<httpServer.ServerReply>;
}

/**
 * @param timeSource - clock of the process
 * @returns a holder without requests
 */
export const createPresenceHolder = (timeSource: clock.Clock): PresenceHolder => {
  const held = new Set<() => void>();
  let isOver = false;
  return {
    hold: async () => {
      if (!isOver) {
        await new Promise<void>((resolve) => {
          const release = (): void => {
            timer.dispose();
            held.delete(release);
            resolve();
          };
          const timer = timeSource.after(HOLD_MS, release);
          held.add(release);
        });
      }
      return { status: 204 };
    },
    dispose: () => {
      isOver = true;
      [...held].forEach((release) => release());
    },
  };
};

/** What the agent's side needs. */
export interface PresenceWatchOptions {
  readonly clock: clock.Clock;
  readonly random: random.Random;
  readonly call: http.HttpCall;
  /** The entry is reachable again after a break. */
  readonly onDidReturn: (url: string) => void;
}

/** The agent's side: watches the entries that it was last told of. */
export interface PresenceWatch extends disposable.Disposable {
  readonly watch: (urls: readonly string[]) => void;
}

/**
 * @param options - what the agent's side needs
 * @returns a watch of no entry
 */
export const createPresenceWatch = (options: PresenceWatchOptions): PresenceWatch => {
  const watched = new Map<string, AbortController>();
  const pause = (durationMs: number): Promise<void> =>
    new Promise((resolve) => {
      options.clock.after(durationMs, resolve);
    });
  const isHeld = async (url: string, signal: AbortSignal): Promise<boolean> => {
    try {
      await options.call({
        address: http.parseAddress(url),
        method: 'GET',
        path: PRESENCE_PATH,
        headers: {},
        body: new Uint8Array(),
        timeoutMs: TIMEOUT_MS,
        signal,
      });
      return true;
    } catch {
      return false;
    }
  };
  const follow = async (url: string, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      if (!(await isHeld(url, signal)) && !signal.aborted) {
        await pause(RETRY_MS + options.random() * RETURN_SPREAD_MS);
        if (!signal.aborted) options.onDidReturn(url);
      }
    }
  };
  return {
    watch: (urls) => {
      for (const [url, controller] of watched) {
        if (!urls.includes(url)) {
          controller.abort();
          watched.delete(url);
        }
      }
      for (const url of urls.filter((it) => !watched.has(it))) {
        const controller = new AbortController();
        watched.set(url, controller);
        void follow(url, controller.signal);
      }
    },
    dispose: () => {
      watched.forEach((it) => it.abort());
      watched.clear();
    },
  };
};
