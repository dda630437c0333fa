/**
 * The leader's agents: opens a session with each one that the store lists, and forgets those that have gone.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import type * as logging from '../../../base/common/logging.js';
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import type * as store from '../../../state/common/store.js';
import * as addressRecord from '../../common/pool/addressRecord.js';
import * as workerTable from '../../common/pool/workerTable.js';

import * as agentSession from './agentSession.js';

/** Dependencies of the directory. */
export interface AgentDirectoryOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly link: agentContract.AgentApi;
  /** Agents with their workers; the directory adds and removes them. */
  readonly workers: Map<string, workerTable.WorkerEntry>;
  readonly createWorker: (agentId: string, url: string) => workerTable.WorkerEntry;
  /** Duration of the leases granted; 0 while the leadership is not certain. */
  readonly grantMs: () => number;
  /** What a worker's agent keeps of its speed for the next leader; undefined where nothing is known. */
  readonly speedRecordOf: (worker: workerTable.WorkerEntry) => string | undefined;
  /** @returns settled once the run ends in the update may be acknowledged */
  readonly onUpdate: (
    worker: workerTable.WorkerEntry,
    news: agentContract.WorkerUpdate,
    receivedAtMs: number,
  ) => Promise<unknown>;
}

/** The leader's agents. */
export interface AgentDirectory extends disposable.Disposable {
  readonly handleRecord: (record: store.StoreEntry) => void;
  readonly handleRemoval: (key: string) => void;
  /** Removes agents without a record that have not responded for long. */
  readonly removeGone: () => void;
}

/** An agent without a record that has not responded for this long is removed. */
const REMOVE_AGENT_MS = 60_000;

/**
 * @param options - its dependencies
 * @returns a directory without agents
 */
export const createAgentDirectory = (options: AgentDirectoryOptions): AgentDirectory => {
  const { clock: time, log, workers } = options;
  const sessions = new Map<string, disposable.Disposable>();
  const listedAgents = new Set<string>();

  const openSession = (worker: workerTable.WorkerEntry): void => {
    const session = agentSession.startAgentSession({
      link: options.link,
      clock: time,
      log,
      worker,
      grantMs: options.grantMs,
      speedRecordOf: options.speedRecordOf,
      onUpdate: (news, receivedAtMs) => options.onUpdate(worker, news, receivedAtMs),
      onDidLoseAgent: () => {
        worker.isReachable = false;
      },
    });
    sessions.set(worker.agentId, session);
  };

  return {
    handleRecord: (record) => {
      const agentId = record.key.slice(poolKeys.AGENTS.length);
      const url = addressRecord.parseAddressRecord(record.value);
      if (url === undefined) {
        // If it threw, the watch would fail at this record again and again, and later records would never arrive.
        log('error', 'recordUnreadable', { key: record.key, revision: record.revision });
        return;
      }
      listedAgents.add(agentId);
      const known = workers.get(agentId);
      if (known !== undefined) {
        known.url = url;
        return;
      }
      const worker = options.createWorker(agentId, url);
      workers.set(agentId, worker);
      openSession(worker);
    },
    handleRemoval: (key) => {
      listedAgents.delete(key.slice(poolKeys.AGENTS.length));
    },
    removeGone: () => {
      for (const worker of workers.values()) {
        const isUnreachable = time.monotonicMs() - worker.contactedAtMs > REMOVE_AGENT_MS;
        if (isUnreachable && !listedAgents.has(worker.agentId) && worker.runs.size === 0) {
          void sessions.get(worker.agentId)?.dispose();
          sessions.delete(worker.agentId);
          workers.delete(worker.agentId);
        }
      }
    },
    dispose: () => {
      sessions.forEach((it) => {
        void it.dispose();
      });
    },
  };
};
