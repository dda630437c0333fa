/**
 * An agent's start orders that got no answer from its worker, for the next leader.
 *
 * Guards against a leader that dies before it learns that an order got no answer: the next one would start the task on
 * another worker, and a delayed copy would start it again in the first worker's new incarnation.
 */
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import * as delayedOrders from './delayedOrders.js';
import * as fences from './fences.js';

/** A start order as an agent sends it to its worker. */
export interface SentStart {
  readonly task: string;
  readonly workerId: string;
  /** The leader's fence of the order. */
  readonly fence: number;
}

/** Tracks start orders from their first copy until no copy can arrive any more. */
export interface OpenStarts {
  /**
   * @param start - a start order that is about to be sent
   * @returns records the result of all copies: whether one of them got no answer
   */
  readonly track: (start: SentStart) => (hasOpenCopy: boolean) => void;
  /**
   * @param fence - the current leader's fence
   * @returns unanswered orders of earlier leaders; the current one learns of its own by their results
   */
  readonly ofEarlierLeaders: (fence: number) => agentContract.OpenStart[];
}

interface TrackedStart extends SentStart {
  /** When its last copy was sent at the latest; undefined while copies are being sent. */
  sentAtMs: number | undefined;
}

/**
 * @param nowMs - the agent's monotonic clock
 * @returns a tracker without orders
 */
export const createOpenStarts = (nowMs: () => number): OpenStarts => {
  const starts = new Set<TrackedStart>();

  const ageMs = ({ sentAtMs }: TrackedStart): number =>
    sentAtMs === undefined ? 0 : Math.max(0, Math.floor(nowMs() - sentAtMs));

  const removeOld = (): void => {
    for (const start of starts) {
      if (ageMs(start) > delayedOrders.MAX_ORDER_DELAY_MS) starts.delete(start);
    }
  };

  return {
    track: (sent) => {
      removeOld();
      const start: TrackedStart = { ...sent, sentAtMs: undefined };
      starts.add(start);
      return (hasOpenCopy) => {
        if (hasOpenCopy) start.sentAtMs = nowMs();
        else starts.delete(start);
      };
    },
    ofEarlierLeaders: (fence) => {
      removeOld();
      return [...starts]
        .filter((it) => fences.epochOf(it.fence) < fences.epochOf(fence))
        .map((it) => ({ task: it.task, workerId: it.workerId, ageMs: ageMs(it) }));
    },
  };
};
