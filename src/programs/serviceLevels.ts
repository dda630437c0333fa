/**
 * Wires a process's events to the counts of service levels: callers' requests in an entry, job
 * starts in a scheduler.
 */
import * as errors from '../base/common/errors.js';
import * as serviceLevelCounters from '../coordination/common/serviceLevelCounters.js';
import * as serviceLevelRecorder from '../coordination/node/serviceLevelRecorder.js';
import type * as configuration from '../state/common/configuration.js';
import type * as job from '../state/common/job.js';
import type * as store from '../state/common/store.js';
import * as callObserver from '../transport/node/callObserver.js';
import type * as httpServer from '../transport/node/httpServer.js';

import type * as processKit from './processKit.js';

/** The counts of one process, owned by its kit. */
export interface ServiceLevels {
  /** Wraps the callers' API so that each request to an upstream is judged. */
  readonly observeCalls: (handler: httpServer.Handler) => httpServer.Handler;
  readonly noteJob: (before: job.JobRecord, after: job.JobRecord) => void;
  /** Writes what is counted; a store that is away is only logged. */
  readonly flush: () => Promise<void>;
}

/**
 * @param kit - parts of the process
 * @param target - the store
 * @returns the counts
 */
export const keepServiceLevels = (
  kit: processKit.ProcessKit,
  target: store.Store,
): ServiceLevels => {
  const keeper = kit.owned.add(
    serviceLevelRecorder.createServiceLevelRecorder({
      writerId: `${kit.sender().processId}.${kit.newId()}`,
      store: target,
      clock: kit.clock,
      log: kit.log,
    }),
  );
  const objectives = (): readonly configuration.Objective[] =>
    kit.configuration.current()?.document.objectives ?? [];
  return {
    observeCalls: (handler) =>
      callObserver.observeCalls(handler, kit.clock, (end) => {
        keeper.note(serviceLevelCounters.evaluateRequest(objectives(), end));
      }),
    noteJob: (before, after) => {
      const nowMs = kit.clock.wallMs();
      keeper.note(serviceLevelCounters.evaluateStart(objectives(), before, after, nowMs));
    },
    flush: async () => {
      try {
        await keeper.flush();
      } catch (thrown) {
        const reason = errors.normalize(thrown).message;
        kit.log('warn', 'serviceLevelsNotWritten', { reason });
      }
    },
  };
};
