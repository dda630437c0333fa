/**
 * Long polling by which agents detect immediately that an entry has restarted, without frequent
 * registrations: each agent keeps one request open at each entry of its region, which the entry answers
 * after half a minute. When the entry dies the connection breaks, and the agent registers as soon as the
 * entry is back.
 *
 * Without it, a restarted entry would know no upstream for up to a registration period and refuse all
 * requests. The cost is one plain exchange per agent every half minute.
 *
 * The request also carries the active configuration version of the agent, and the reply that of the
 * entry; an entry with a later version answers immediately. So a change reaches agents without a separate
 * call and before their next registration, and entries know which agents have applied it.
 */
import * as clock from '../base/common/clock.js';
import type * as disposable from '../base/common/disposable.js';
import * as http from '../base/common/http.js';
import * as random from '../base/common/random.js';
import * as httpServer from '../transport/node/httpServer.js';

/** Path at the entry. */
export const PRESENCE_PATH = '/presence';

/** Time after which the entry answers; below the maximum age of a connection. */
const HOLD_MS = 30_000;

/** Spread of registrations after a restart, which all agents of a region detect simultaneously. */
const REGISTER_SPREAD_MS = 1000;

/** Spread of the fetches after a configuration change. */
const CHANGE_SPREAD_MS = 500;

/** Delay before a retry while the entry does not accept connections. */
const RETRY_MS = 500;

const TIMEOUT_MS = HOLD_MS + 5000;

/** Data that an agent sends with its open request. */
export interface AgentPresence {
  readonly agentUrl: string;
  readonly configVersion: number;
}

/** Dependencies of the entry's side. */
export interface PresenceHolderOptions {
  readonly clock: clock.Clock;
  /** Active configuration version of the entry. */
  readonly version: () => number;
  /** Called with the active configuration version of an agent. */
  readonly onDidReceive: (note: AgentPresence) => void;
}

/** The entry's side: the open requests of agents. Disposing answers them all. */
export interface PresenceHolder extends disposable.Disposable {
  readonly hold: (request: httpServer.ServerRequest) => Promise<httpServer.ServerReply>;
  /** Answers all open requests after a version change. */
  readonly release: () => void;
}

const parsePresence = (query: URLSearchParams): AgentPresence => ({
  agentUrl: query.get('url') ?? '',
  configVersion: Number(query.get('version') ?? 0),
});

/**
 * @param options - dependencies of the entry's side
 * @returns a holder without open requests
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
      const note = parsePresence(request.query);
      options.onDidReceive(note);
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

/** Dependencies of the agent's side. */
export interface PresenceWatchOptions {
  readonly clock: clock.Clock;
  readonly random: random.Random;
  readonly call: http.HttpCall;
  /** Gives the data to send with each request. */
  readonly note: () => AgentPresence;
  /** Called before the next request after a failed one, so that the agent registers again. */
  readonly onDidReturn: (url: string) => void;
  /** Called when the entry has a later active version; settles once the fetch succeeded or failed. */
  readonly onDidReceiveVersion: (url: string, version: number) => Promise<void>;
}

/** The agent's side: keeps a request open at each of the given entries. */
export interface PresenceWatch extends disposable.Disposable {
  readonly watch: (urls: readonly string[]) => void;
}

/**
 * @param options - dependencies of the agent's side
 * @returns a watch without entries
 */
export const createPresenceWatch = (options: PresenceWatchOptions): PresenceWatch => {
  const watched = new Map<string, AbortController>();
  const sendRequest = (url: string, signal: AbortSignal): Promise<http.HttpReply> => {
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
  const handleReply = async (url: string, reply: http.HttpReply): Promise<void> => {
    const text = Buffer.from(reply.body).toString('utf8');
    const { configVersion } = JSON.parse(text) as { configVersion: number };
    if (configVersion <= options.note().configVersion) return;
    // All agents of a region are notified of a change simultaneously.
    await clock.sleep(options.clock, options.random() * CHANGE_SPREAD_MS);
    await options.onDidReceiveVersion(url, configVersion);
    // An agent that could not fetch the version must not retry without a delay.
    if (configVersion > options.note().configVersion) await clock.sleep(options.clock, RETRY_MS);
  };
  const exchangeOnce = async (url: string, signal: AbortSignal): Promise<boolean> => {
    try {
      await handleReply(url, await sendRequest(url, signal));
      return true;
    } catch {
      return false;
    }
  };
  const keepRequestOpen = async (url: string, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      if (!(await exchangeOnce(url, signal)) && !signal.aborted) {
        await clock.sleep(options.clock, RETRY_MS + options.random() * REGISTER_SPREAD_MS);
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
        void keepRequestOpen(url, controller.signal);
      }
    },
    dispose: () => {
      watched.forEach((it) => it.abort());
      watched.clear();
    },
  };
};
