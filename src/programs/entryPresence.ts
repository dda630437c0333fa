/**
 * Lets agents notice at once that an entry has restarted, without frequent registrations: each agent
 * keeps one request open at each entry of its region, which the entry answers after half a minute.
 * When the entry dies the connection breaks, and the agent registers as soon as the entry is back.
 *
 * Guards against an entry that knows no upstream for up to a registration period after its restart
 * and refuses everything meanwhile. Costs one plain exchange per agent and half a minute.
 *
 * The same request carries the configuration's version both ways: the agent says which one it has in
 * force, and an entry that has a later one answers at once. So a change reaches agents without a call
 * of its own and without waiting for their next registration, and entries know who has it.
 */
import * as clock from '../base/common/clock.js';
import type * as disposable from '../base/common/disposable.js';
import * as http from '../base/common/http.js';
import * as random from '../base/common/random.js';
import * as httpServer from '../transport/node/httpServer.js';

/** Path at the entry. */
export const PRESENCE_PATH = '/presence';

/** Time after which the entry answers; below the age at which connections are given up. */
const HOLD_MS = 30_000;

/** Spread of registrations after a restart: all agents of a region notice at the same moment. */
const RETURN_SPREAD_MS = 1000;

/** Spread of the fetches after a change of the configuration. */
const CHANGE_SPREAD_MS = 500;

/** Wait before the entry is tried again while it does not accept connections. */
const RETRY_MS = 500;

const TIMEOUT_MS = HOLD_MS + 5000;

/** What an agent says with the request that it keeps open. */
export interface PresenceNote {
  readonly agentUrl: string;
  readonly configVersion: number;
}

/** What the entry's side needs. */
export interface PresenceHolderOptions {
  readonly clock: clock.Clock;
  /** Version that the entry has in force. */
  readonly version: () => number;
  /** Told which version an agent has in force. */
  readonly onDidHear: (note: PresenceNote) => void;
}

/** The entry's side: requests that are held. Disposing answers them all. */
export interface PresenceHolder extends disposable.Disposable {
  readonly hold: (request: httpServer.ServerRequest) => Promise<httpServer.ServerReply>;
  /** Answers everything that is held, since the version has changed. */
  readonly release: () => void;
}

const parseNote = (query: URLSearchParams): PresenceNote => ({
  agentUrl: query.get('url') ?? '',
  configVersion: Number(query.get('version') ?? 0),
});

/**
 * @param options - what the entry's side needs
 * @returns a holder without requests
 */
export const createPresenceHolder = (options: PresenceHolderOptions): PresenceHolder => {
  const held = new Set<() => void>();
  let isOver = false;
  const wait = (): Promise<void> =>
    new Promise((resolve) => {
      const release = (): void => {
        void timer.dispose();
        held.delete(release);
        resolve();
      };
      const timer = options.clock.after(HOLD_MS, release);
      held.add(release);
    });
  const release = (): void => [...held].forEach((it) => it());
  return {
    hold: async (request) => {
      const note = parseNote(request.query);
      options.onDidHear(note);
      if (!isOver && note.configVersion >= options.version()) await wait();
      return httpServer.jsonReply({ configVersion: options.version() });
    },
    release,
    dispose: () => {
      isOver = true;
      release();
    },
  };
};

/** What the agent's side needs. */
export interface PresenceWatchOptions {
  readonly clock: clock.Clock;
  readonly random: random.Random;
  readonly call: http.HttpCall;
  /** What is said with each request. */
  readonly note: () => PresenceNote;
  /** The entry is reachable again after a break. */
  readonly onDidReturn: (url: string) => void;
  /** The entry has this version in force; settles once the agent has caught up or given up. */
  readonly onDidHearVersion: (url: string, version: number) => Promise<void>;
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
  const ask = (url: string, signal: AbortSignal): Promise<http.HttpReply> => {
    const { agentUrl, configVersion } = options.note();
    const query = `url=${encodeURIComponent(agentUrl)}&version=${configVersion}`;
    return options.call({
      address: http.parseAddress(url),
      method: 'GET',
      path: `${PRESENCE_PATH}?${query}`,
      headers: {},
      body: new Uint8Array(),
      timeoutMs: TIMEOUT_MS,
      signal,
    });
  };
  const hear = async (url: string, reply: http.HttpReply): Promise<void> => {
    const text = Buffer.from(reply.body).toString('utf8');
    const { configVersion } = JSON.parse(text) as { configVersion: number };
    if (configVersion <= options.note().configVersion) return;
    // All agents of a region hear of a change at the same moment.
    await clock.sleep(options.clock, options.random() * CHANGE_SPREAD_MS);
    await options.onDidHearVersion(url, configVersion);
    // An agent that could not catch up must not ask again and again without a pause.
    if (configVersion > options.note().configVersion) await clock.sleep(options.clock, RETRY_MS);
  };
  const isHeld = async (url: string, signal: AbortSignal): Promise<boolean> => {
    try {
      await hear(url, await ask(url, signal));
      return true;
    } catch {
      return false;
    }
  };
  const follow = async (url: string, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      if (!(await isHeld(url, signal)) && !signal.aborted) {
        await clock.sleep(options.clock, RETRY_MS + options.random() * RETURN_SPREAD_MS);
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
