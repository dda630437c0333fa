/**
 * Decides which commands of a leader an agent carries out at the worker on its VM: fencing by
 * epoch, reservations, and tombstones of stopped tokens.
 *
 * Guards against: a paused leader that resumes after its cell has a new one (its lower epoch is
 * refused); a restarted agent that has lost its accepted epoch (no command is accepted before a
 * leader has fenced this boot); a start that arrives after the stop of its token (the token is
 * remembered); two starts on one accelerator (only a reservation or a running task occupies it).
 */
import * as task from '../../state/common/task.js';

/** One task that the agent knows. */
export interface HeldTask {
  readonly token: task.TaskToken;
  readonly phase: task.TaskPhase;
  readonly accelerators: readonly number[];
  /** Monotonic time at which a reservation expires. */
  readonly reservedUntilMs: number;
  readonly progressMs: number;
  readonly checkpointMs: number;
  readonly reason: string;
}

/** The agent's in-memory state; it is lost when the agent's process ends. */
export interface AgentTasks {
  readonly acceptedEpoch: number;
  readonly accelerators: number;
  readonly held: ReadonlyMap<string, HeldTask>;
  /** Tombstones of tokens that must never start, with the time until which they are kept. */
  readonly stopped: ReadonlyMap<string, number>;
}

/** How long a stopped token is remembered: longer than any message can be in flight. */
export const STOPPED_TOKEN_TTL_MS = 600_000;

/** What the agent has to do at the worker. */
export type AgentEffect =
  | {
      readonly type: 'start';
      readonly key: string;
      readonly accelerators: readonly number[];
      readonly payload: string;
      readonly resumeFromMs: number;
    }
  | { readonly type: 'stop'; readonly key: string; readonly graceMs: number }
  | { readonly type: 'throttle'; readonly key: string; readonly share: number }
  | { readonly type: 'checkpoint'; readonly key: string };

/** The agent after a command. */
export interface AgentStep {
  readonly next: AgentTasks;
  readonly effects: readonly AgentEffect[];
  readonly isAccepted: boolean;
  readonly reason: string;
  /** Nothing runs under the token, and nothing ever will. */
  readonly isGone: boolean;
}

/**
 * @param accelerators - how many the worker has
 * @returns an agent that holds nothing and has accepted no epoch
 */
export const createAgentTasks = (accelerators: number): AgentTasks => ({
  acceptedEpoch: 0,
  accelerators,
  held: new Map(),
  stopped: new Map(),
});

const ENDED: ReadonlySet<task.TaskPhase> = new Set([
  task.TaskPhase.done,
  task.TaskPhase.failed,
  task.TaskPhase.stopped,
]);

/**
 * @param phase - phase of a task
 * @returns whether the task no longer occupies accelerators
 */
export const isEnded = (phase: task.TaskPhase): boolean => ENDED.has(phase);

const refuse = (state: AgentTasks, reason: string): AgentStep => ({
  next: state,
  effects: [],
  isAccepted: false,
  reason,
  isGone: false,
});

const accept = (next: AgentTasks, effects: readonly AgentEffect[] = []): AgentStep => ({
  next,
  effects,
  isAccepted: true,
  reason: '',
  isGone: false,
});

const gone = (next: AgentTasks): AgentStep => ({ ...accept(next), isGone: true });

const withHeld = (state: AgentTasks, held: HeldTask): AgentTasks => {
  const all = new Map(state.held);
  all.set(task.tokenKey(held.token), held);
  return { ...state, held: all };
};

const withoutHeld = (state: AgentTasks, key: string): AgentTasks => {
  const all = new Map(state.held);
  all.delete(key);
  return { ...state, held: all };
};

/**
 * @param state - the agent
 * @param nowMs - monotonic time
 * @returns the agent without expired reservations and tombstones; the token of an expired
 *   reservation gets a tombstone, since the leader may count it as gone while duplicates of its
 *   reservation and start are still in flight
 */
export const expire = (state: AgentTasks, nowMs: number): AgentTasks => {
  const isExpiredReservation = (it: HeldTask): boolean =>
    it.phase === task.TaskPhase.reserved && it.reservedUntilMs <= nowMs;
  const expired = [...state.held].filter(([, it]) => isExpiredReservation(it));
  const hasExpiredTombstones = [...state.stopped.values()].some((untilMs) => untilMs <= nowMs);
  if (expired.length === 0 && !hasExpiredTombstones) return state;
  const held = new Map([...state.held].filter(([, it]) => !isExpiredReservation(it)));
  const stopped = new Map([...state.stopped].filter(([, untilMs]) => untilMs > nowMs));
  for (const [key] of expired) stopped.set(key, nowMs + STOPPED_TOKEN_TTL_MS);
  return { ...state, held, stopped };
};

/**
 * @param state - the agent
 * @param epoch - epoch of a message
 * @returns the agent with the epoch accepted, or undefined where it has accepted a higher one
 */
export const fence = (state: AgentTasks, epoch: number): AgentTasks | undefined => {
  if (epoch < state.acceptedEpoch) return undefined;
  return epoch === state.acceptedEpoch ? state : { ...state, acceptedEpoch: epoch };
};

const busyAccelerators = (state: AgentTasks, exceptKey: string): Set<number> => {
  const busy = new Set<number>();
  for (const [key, held] of state.held) {
    if (key === exceptKey || isEnded(held.phase)) continue;
    for (const accelerator of held.accelerators) busy.add(accelerator);
  }
  return busy;
};

type CommandOf<T extends task.TaskCommand['type']> = Extract<task.TaskCommand, { type: T }>;

const onReserve = (state: AgentTasks, command: CommandOf<'reserve'>, nowMs: number): AgentStep => {
  const key = task.tokenKey(command.token);
  if (state.stopped.has(key)) return refuse(state, 'the token was stopped');
  const known = state.held.get(key);
  if (known !== undefined && known.phase !== task.TaskPhase.reserved) {
    return refuse(state, `the token is ${known.phase}`);
  }
  const busy = busyAccelerators(state, key);
  const isFree = command.accelerators.every((it) => it < state.accelerators && !busy.has(it));
  if (!isFree) return refuse(state, 'accelerators are held by another task');
  const held: HeldTask = {
    token: command.token,
    phase: task.TaskPhase.reserved,
    accelerators: command.accelerators,
    reservedUntilMs: nowMs + command.leaseMs,
    progressMs: 0,
    checkpointMs: 0,
    reason: '',
  };
  return accept(withHeld(state, held));
};

/** Remembers the token: a delayed duplicate must not reserve for the abandoned attempt again. */
const onRelease = (state: AgentTasks, command: CommandOf<'release'>, nowMs: number): AgentStep => {
  const key = task.tokenKey(command.token);
  const known = state.held.get(key);
  if (known !== undefined && known.phase !== task.TaskPhase.reserved) return accept(state);
  const stopped = new Map(state.stopped).set(key, nowMs + STOPPED_TOKEN_TTL_MS);
  return accept({ ...withoutHeld(state, key), stopped });
};

/** The leader counts a member whose start was refused as gone, so no duplicate may be accepted. */
const refusePermanently = (
  state: AgentTasks,
  key: string,
  nowMs: number,
  reason: string,
): AgentStep => {
  const stopped = new Map(state.stopped).set(key, nowMs + STOPPED_TOKEN_TTL_MS);
  return refuse({ ...withoutHeld(state, key), stopped }, reason);
};

const onStart = (
  state: AgentTasks,
  command: CommandOf<'start'>,
  nowMs: number,
  hasLease: boolean,
): AgentStep => {
  const key = task.tokenKey(command.token);
  if (state.stopped.has(key)) return refuse(state, 'the token was stopped');
  const known = state.held.get(key);
  if (known === undefined) return refusePermanently(state, key, nowMs, 'reservation expired');
  if (known.phase !== task.TaskPhase.reserved) return accept(state);
  // Without a lease the worker would stop the task immediately and the gang would be incomplete. A
  // repeated start is accepted: a refusal would say that the running task does not run.
  if (!hasLease) return refusePermanently(state, key, nowMs, 'the agent holds no lease');
  const running: HeldTask = {
    ...known,
    phase: task.TaskPhase.running,
    progressMs: command.resumeFromMs,
    checkpointMs: command.resumeFromMs,
  };
  const effect: AgentEffect = {
    type: 'start',
    key,
    accelerators: known.accelerators,
    payload: command.payload,
    resumeFromMs: command.resumeFromMs,
  };
  return accept(withHeld(state, running), [effect]);
};

const onStop = (state: AgentTasks, command: CommandOf<'stop'>, nowMs: number): AgentStep => {
  const key = task.tokenKey(command.token);
  const stopped = new Map(state.stopped).set(key, nowMs + STOPPED_TOKEN_TTL_MS);
  const withTombstone = { ...state, stopped };
  const known = state.held.get(key);
  if (known === undefined) return gone(withTombstone);
  if (isEnded(known.phase)) return gone(withTombstone);
  if (known.phase === task.TaskPhase.reserved) {
    return gone(withHeld(withTombstone, { ...known, phase: task.TaskPhase.stopped }));
  }
  return accept(withHeld(withTombstone, { ...known, phase: task.TaskPhase.stopping }), [
    { type: 'stop', key, graceMs: command.graceMs },
  ]);
};

const onRunning = (
  state: AgentTasks,
  token: task.TaskToken,
  effectOf: (key: string) => AgentEffect,
): AgentStep => {
  const key = task.tokenKey(token);
  const phase = state.held.get(key)?.phase;
  return phase === task.TaskPhase.running
    ? accept(state, [effectOf(key)])
    : refuse(state, 'the task is not running');
};

const onCommand = (
  state: AgentTasks,
  command: task.TaskCommand,
  nowMs: number,
  leaseUntilMs: number,
): AgentStep => {
  switch (command.type) {
    case 'reserve':
      return onReserve(state, command, nowMs);
    case 'release':
      return onRelease(state, command, nowMs);
    case 'start':
      return onStart(state, command, nowMs, leaseUntilMs > nowMs);
    case 'stop':
      return onStop(state, command, nowMs);
    case 'throttle':
      return onRunning(state, command.token, (key) => ({
        type: 'throttle',
        key,
        share: command.share,
      }));
    default:
      return onRunning(state, command.token, (key) => ({ type: 'checkpoint', key }));
  }
};

/**
 * @param state - the agent
 * @param epoch - epoch of the leader that sent the command
 * @param asked - the command
 * @param nowMs - monotonic time
 * @param leaseUntilMs - monotonic time until which the agent may renew its worker's tasks
 * @returns the agent after the command, with the effects to apply at the worker
 */
export const command = (
  state: AgentTasks,
  epoch: number,
  asked: task.TaskCommand,
  nowMs: number,
  leaseUntilMs: number,
): AgentStep => {
  // Commands never raise the accepted epoch: after a restart any epoch would look new.
  if (epoch !== state.acceptedEpoch || epoch === 0) {
    return refuse(state, `epoch ${epoch} is not the accepted epoch ${state.acceptedEpoch}`);
  }
  return onCommand(expire(state, nowMs), asked, nowMs, leaseUntilMs);
};

/** State of one task in the worker's report, which may lag behind. */
export interface Observation {
  readonly key: string;
  readonly phase: task.TaskPhase;
  readonly progressMs: number;
  readonly checkpointMs: number;
  readonly reason: string;
}

/**
 * @param state - the agent
 * @param seen - the worker's report on one task
 * @returns the agent with the report applied; a delayed one never revives an ended task
 */
export const observe = (state: AgentTasks, seen: Observation): AgentTasks => {
  const known = state.held.get(seen.key);
  if (known === undefined || isEnded(known.phase)) return state;
  if (known.phase === task.TaskPhase.reserved) return state;
  const isBackwards =
    known.phase === task.TaskPhase.stopping && seen.phase === task.TaskPhase.running;
  return withHeld(state, {
    ...known,
    phase: isBackwards ? known.phase : seen.phase,
    progressMs: Math.max(known.progressMs, seen.progressMs),
    checkpointMs: Math.max(known.checkpointMs, seen.checkpointMs),
    reason: seen.reason,
  });
};

/**
 * @param state - the agent
 * @param tokens - ended tasks whose end is stored durably
 * @returns the agent without them
 */
export const removeEnded = (state: AgentTasks, tokens: readonly task.TaskToken[]): AgentTasks => {
  const held = new Map(state.held);
  for (const token of tokens) {
    const key = task.tokenKey(token);
    const known = held.get(key);
    if (known !== undefined && isEnded(known.phase)) held.delete(key);
  }
  return { ...state, held };
};

/**
 * @param held - a task that the agent knows
 * @returns its report
 */
export const toReport = (held: HeldTask): task.TaskReport => ({
  token: held.token,
  phase: held.phase,
  accelerators: [...held.accelerators],
  progressMs: held.progressMs,
  checkpointMs: held.checkpointMs,
  ...(held.reason === '' ? {} : { reason: held.reason.slice(0, 400) }),
});
