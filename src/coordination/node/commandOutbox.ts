/**
 * Sends a leader's commands to agents: batched, in order, with one message in flight per agent.
 */
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as task from '../../state/common/task.js';
import type * as memberOutcome from '../common/memberOutcome.js';

/** An agent's reply to a batch. */
export interface CommandResults {
  readonly bootId: string;
  /** Number of command messages that the agent has handled since its boot, including this one. */
  readonly commandCount: number;
  readonly results: readonly {
    readonly isAccepted: boolean;
    readonly isGone: boolean;
    readonly reason?: string;
  }[];
}

/** Sends a batch to one agent and returns the results in the same order. */
export type SendCommands = (
  agentUrl: string,
  commands: readonly task.TaskCommand[],
) => Promise<CommandResults>;

interface Pending {
  readonly command: task.TaskCommand;
  readonly onOutcome: (outcome: memberOutcome.CommandOutcome) => void;
}

/** Queues and sends commands to the agents of a cell. */
export interface CommandOutbox {
  readonly enqueue: (
    agentUrl: string,
    command: task.TaskCommand,
    onOutcome: (outcome: memberOutcome.CommandOutcome) => void,
  ) => void;
}

/** Maximum number of commands in one message; keeps it far below the message size limit. */
const MAX_BATCH = 256;

/**
 * @param send - sends a batch to one agent
 * @param log - the process log
 * @param onAnswered - called with the agent's count of command messages, before the outcomes
 * @param onSilent - called for an agent that did not reply
 * @returns an empty outbox
 */
export const createCommandOutbox = (
  send: SendCommands,
  log: logging.Log,
  onAnswered: (agentUrl: string, bootId: string, commandCount: number) => void,
  onSilent: (agentUrl: string) => void,
): CommandOutbox => {
  const queues = new Map<string, Pending[]>();
  const active = new Set<string>();

  const deliver = async (agentUrl: string, batch: readonly Pending[]): Promise<void> => {
    try {
      const { results, bootId, commandCount } = await send(
        agentUrl,
        batch.map((it) => it.command),
      );
      onAnswered(agentUrl, bootId, commandCount);
      batch.forEach((it, index) => {
        const result = results[index];
        it.onOutcome(result && { ...result, reason: result.reason ?? '' });
      });
    } catch (thrown) {
      const { kind, message } = errors.normalize(thrown);
      log('warn', 'commandsLost', { agentUrl, count: batch.length, kind, reason: message });
      onSilent(agentUrl);
      batch.forEach((it) => it.onOutcome(undefined));
    }
  };
  const drain = async (agentUrl: string): Promise<void> => {
    active.add(agentUrl);
    // Waits one microtask, so that the commands of one planning round share a message.
    await Promise.resolve();
    for (;;) {
      const batch = (queues.get(agentUrl) ?? []).splice(0, MAX_BATCH);
      if (batch.length === 0) break;
      await deliver(agentUrl, batch);
    }
    queues.delete(agentUrl);
    active.delete(agentUrl);
  };
  return {
    enqueue: (agentUrl, command, onOutcome) => {
      const queue = queues.get(agentUrl) ?? [];
      queue.push({ command, onOutcome });
      queues.set(agentUrl, queue);
      if (!active.has(agentUrl)) void drain(agentUrl);
    },
  };
};
