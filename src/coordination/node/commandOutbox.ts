/**
 * Sends a leader's commands to agents: in order for each agent, batched, one message at a time.
 */
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as task from '../../state/common/task.js';
import type * as memberOutcome from '../common/memberOutcome.js';

/** What an agent answers to a batch. */
export interface CommandResults {
  readonly bootId: string;
  /** Command messages that the agent has handled since its boot, this one included. */
  readonly commandCount: number;
  readonly results: readonly {
    readonly isAccepted: boolean;
    readonly isGone: boolean;
    readonly reason?: string;
  }[];
}

/** Sends a batch to one agent and gives the results in the same order. */
export type SendCommands = (
  agentUrl: string,
  commands: readonly task.TaskCommand[],
) => Promise<CommandResults>;

interface Pending {
  readonly command: task.TaskCommand;
  readonly onOutcome: (outcome: memberOutcome.CommandOutcome) => void;
}

/** Commands under way to the agents of a cell. */
export interface CommandOutbox {
  readonly enqueue: (
    agentUrl: string,
    command: task.TaskCommand,
    onOutcome: (outcome: memberOutcome.CommandOutcome) => void,
  ) => void;
}

/** Commands in one message; keeps a message far below the limit of its size. */
const MAX_BATCH = 256;

/**
 * @param send - sends a batch to one agent
 * @param log - the process log
 * @param onAnswered - told of the agent's count of command messages before the outcomes are
 * @param onSilent - told of an agent that did not answer
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
    // One turn of the loop lets the commands of one planning round share a message.
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
