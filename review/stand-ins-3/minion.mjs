/**
 * A minion after PROTOCOL.md ("Running tasks" and "Service discovery"): takes starts, stops and holds from its own
 * machine, runs tasks under a lease, lists ends until they are seen, and sends heartbeats.
 */
import * as http from 'node:http';

const STOP_MS = 150;
const TICK_MS = 20;
const MAX_ENDS = 500;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

const stepOf = (task) => task.slice(0, task.lastIndexOf('.'));

/** Members of gangs over all minions, by step and run. */
export const createGangBoard = () => new Map();

/**
 * @param options - name, host, control, backend, zone, labels, capacity, heartbeatMs, holdMaxMs, gangMs, saveMs, board,
 *   record, and workOf(task): { workMs, gang, lasts, saves, fails }
 */
export const createMinion = async (options) => {
  const { record, board } = options;
  const runs = [];
  let id = options.id;
  let labels = options.labels;
  let life;
  let isUp = false;
  let isQuiet = false;
  let isFailing = false;
  /** Settled once its machine goes on; undefined while it isn't suspended. */
  let resumed;
  let state = 'ready';
  let remainingMs;
  let fault = () => undefined;
  let port = 0;
  let server;
  let heartbeats;

  const newLife = () => ({
    born: Date.now(),
    bornAtMs: performance.now(),
    fence: 0,
    leaseUntilMs: 0,
    live: new Map(),
    refusedUpTo: new Map(),
    ends: [],
    endCount: 0,
    seenUpTo: 0,
    seq: 0,
    waiters: new Set(),
    suspendedMs: 0,
  });
  /** The steady clock of its machine, which stands still while the machine is suspended. */
  const clockOf = (its) => Math.floor(performance.now() - its.bornAtMs - its.suspendedMs);
  const wake = (its) => {
    const woken = [...its.waiters];
    its.waiters.clear();
    woken.forEach((resume) => resume());
  };
  const gangKey = ({ task, run }) => `${stepOf(task)}#${run}`;

  const workedMs = (run) =>
    run.savedMs + (run.workingSinceMs === undefined ? 0 : performance.now() - run.workingSinceMs);
  const savedOf = (run) => {
    if (!run.work.saves) return run.saved;
    const ms = Math.floor(workedMs(run) / options.saveMs) * options.saveMs;
    return ms > 0 ? `${run.task}@${ms}` : run.saved;
  };

  const end = (its, run, how) => {
    if (run.how !== undefined) return;
    run.how = how;
    run.endedAtMs = record.now();
    its.live.delete(run.task);
    its.refusedUpTo.set(run.task, Math.max(run.run, its.refusedUpTo.get(run.task) ?? 0));
    its.endCount += 1;
    run.number = its.endCount;
    const saved =
      run.work.saves && how === 'stopped' ? `${run.task}@${workedMs(run)}` : savedOf(run);
    run.lastSaved = how === 'done' ? '' : saved;
    its.ends.push(run);
    record.write('end', { minion: id, task: run.task, run: run.run, how });
    wake(its);
    if (run.work.gang > 1) {
      const members = board.get(gangKey(run)) ?? [];
      board.delete(gangKey(run));
      members
        .filter((it) => it.run !== run)
        .forEach((it) => it.end(how === 'done' ? 'done' : 'broken'));
    }
  };

  const beginWork = (run) => {
    run.workingSinceMs = performance.now();
  };
  const begin = (its, run) => {
    if (run.work.gang <= 1) {
      beginWork(run);
      return;
    }
    const key = gangKey(run);
    const members = board.get(key) ?? [];
    members.push({ run, end: (how) => end(its, run, how) });
    board.set(key, members);
    if (members.length === run.work.gang) members.forEach((it) => beginWork(it.run));
  };

  const tick = () => {
    if (!isUp || resumed !== undefined) return;
    const its = life;
    if (its.live.size > 0 && clockOf(its) > its.leaseUntilMs) {
      for (const run of [...its.live.values()]) end(its, run, 'lapsed');
    }
    for (const run of [...its.live.values()]) {
      const { work } = run;
      if (run.stopAtMs !== undefined && performance.now() >= run.stopAtMs) end(its, run, 'stopped');
      else if (run.workingSinceMs === undefined) {
        if (performance.now() - run.startedMs > options.gangMs) end(its, run, 'alone');
      } else if (work.failsAfterMs !== undefined && workedMs(run) >= work.failsAfterMs) {
        end(its, run, 'failed');
      } else if (!work.lasts && workedMs(run) >= work.workMs) end(its, run, 'done');
    }
  };
  const ticker = setInterval(tick, TICK_MS);

  const takeDeadline = (its, deadlineMs) => {
    if (deadlineMs === undefined) return;
    const capped = Math.min(deadlineMs, clockOf(its) + options.holdMaxMs);
    its.leaseUntilMs = Math.max(its.leaseUntilMs, capped);
  };

  const start = (its, order, isLate) => {
    const { task, run: number, spec = '', saved = '', fence = 0, deadline_ms: deadlineMs } = order;
    if (fence < its.fence) return [409, 'fence'];
    its.fence = fence;
    const present = its.live.get(task);
    takeDeadline(its, deadlineMs);
    if (present?.run === number) return [200];
    if (number <= (its.refusedUpTo.get(task) ?? 0) || present !== undefined) return [409, 'old'];
    if (deadlineMs === undefined || deadlineMs <= clockOf(its)) return [409, 'late'];
    const work = { ...options.workOf(task), ...(isFailing ? { failsAfterMs: 100 } : {}) };
    const run = {
      task,
      run: number,
      spec,
      saved,
      work,
      minion: id,
      born: its.born,
      startedAtMs: record.now(),
      startedMs: performance.now(),
      savedMs: work.saves && saved !== '' ? Number(saved.split('@')[1] ?? 0) : 0,
      isLate,
    };
    runs.push(run);
    its.live.set(task, run);
    record.write('start', { minion: id, task, run: number, fence, isLate });
    begin(its, run);
    options.onDidStart?.(run);
    return [200];
  };

  const stop = (its, { task, run: number, fence = 0 }) => {
    if (fence < its.fence) return [409, 'fence'];
    its.fence = fence;
    its.refusedUpTo.set(task, Math.max(number, its.refusedUpTo.get(task) ?? 0));
    const run = its.live.get(task);
    if (run !== undefined && run.run <= number) run.stopAtMs ??= performance.now() + STOP_MS;
    record.write('stop', { minion: id, task, run: number });
    return [200];
  };

  const hold = async (
    its,
    { fence = 0, seen_upto: seenUpTo = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 },
  ) => {
    if (fence < its.fence) return [409, 'fence'];
    its.fence = fence;
    takeDeadline(its, deadlineMs);
    for (const run of its.ends.filter((it) => it.number <= seenUpTo)) {
      run.seenAtMs = record.now();
      record.write('seen', { minion: id, task: run.task, run: run.run, how: run.how });
    }
    its.ends = its.ends.filter((it) => it.number > seenUpTo);
    if (its.ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(2000, waitMs));
        its.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const running = [...its.live.values()].map((run) => {
      const percent = run.work.lasts
        ? 100
        : Math.min(99, Math.floor((100 * workedMs(run)) / run.work.workMs));
      return [run.task, run.run, savedOf(run), percent, 0];
    });
    const ended = its.ends
      .slice(0, MAX_ENDS)
      .map((run) => [run.number, run.task, run.run, run.how, run.lastSaved]);
    return [200, undefined, { running, ended }];
  };

  const answer = async (request, response) => {
    const body = JSON.parse((await readBody(request)) || '{}');
    await resumed;
    const its = life;
    const operation = request.url.slice('/-/'.length);
    const wrong = fault(operation, body);
    if (wrong?.kind === 'silent') return;
    const execute = async (isLate) => {
      const now = life;
      const expected = request.headers['auburnlift-expect-instance'];
      if (expected !== undefined && expected !== id) return [421];
      if (operation === 'run-start') return start(now, body, isLate);
      if (operation === 'run-stop') return stop(now, body);
      if (operation === 'hold') return hold(now, body);
      return [200];
    };
    if (wrong?.kind === 'late') {
      record.write('late', { minion: id, operation, task: body.task, run: body.run });
      setTimeout(() => {
        if (isUp) void execute(true);
      }, wrong.afterMs);
      return;
    }
    const [status, reason, lists] = await execute(false);
    await resumed;
    if (wrong?.kind === 'lost' || its !== life || !isUp) {
      response.destroy();
      return;
    }
    const text = Buffer.from(
      JSON.stringify({
        clock_ms: clockOf(its),
        born: its.born,
        ...(reason === undefined ? {} : { reason }),
        ...lists,
      }),
    );
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': text.length,
    });
    response.end(text);
  };

  const tell = (path, body) => {
    const [host, controlPort] = options.control.split(':');
    const request = http.request({
      host,
      port: Number(controlPort),
      method: 'POST',
      path,
      agent: false,
    });
    request.on('error', () => undefined);
    request.on('response', (response) => response.resume());
    request.setHeader('content-type', 'application/json');
    request.end(JSON.stringify(body));
  };
  const heartbeat = () => {
    if (!isUp || isQuiet || resumed !== undefined) return;
    life.seq += 1;
    tell(`/-/Instances.Heartbeat/${id}`, {
      backend: options.backend,
      addr: `${options.host}:${port}`,
      zone: options.zone,
      version: 'v1',
      slots: 8,
      state,
      ...(remainingMs === undefined ? {} : { remaining_ms: remainingMs }),
      cold_left_ms: 0,
      capacity: options.capacity,
      labels,
      clock_ms: clockOf(life),
      seq: life.seq,
      born: life.born,
    });
  };

  const listen = () =>
    new Promise((resolve) => {
      server = http.createServer((request, response) => {
        answer(request, response).catch(() => response.destroy());
      });
      server.keepAliveTimeout = 120_000;
      server.listen(port, options.host, () => {
        port = server.address().port;
        resolve();
      });
    });

  const up = async () => {
    life = newLife();
    state = 'ready';
    remainingMs = undefined;
    await listen();
    isUp = true;
    record.write('minionUp', { minion: id, born: life.born });
    heartbeat();
    heartbeats = setInterval(heartbeat, options.heartbeatMs);
  };

  const down = async (how = 'crashed') => {
    isUp = false;
    clearInterval(heartbeats);
    const its = life;
    for (const run of its.live.values()) {
      run.how = how;
      run.endedAtMs = record.now();
      if (run.work.gang > 1) {
        const members = board.get(gangKey(run)) ?? [];
        board.delete(gangKey(run));
        members.filter((it) => it.run !== run).forEach((it) => it.end('broken'));
      }
    }
    its.live.clear();
    record.write('minionDown', { minion: id, how });
    wake(its);
    const closed = new Promise((resolve) => server.close(resolve));
    server.closeAllConnections();
    await closed;
  };

  await up();
  return {
    runs,
    id: () => id,
    capacity: options.capacity,
    /** @returns whether it is ready and has the label that a step requires */
    mayTake: ({ requires }) =>
      state === 'ready' && (requires === undefined || labels.includes(requires)),
    port: () => port,
    isUp: () => isUp,
    live: () => [...life.live.values()],
    born: () => life.born,
    setFault: (next) => {
      fault = next;
    },
    /** Whether it fails all that it starts. */
    setFailing: (next) => {
      isFailing = next;
    },
    setQuiet: (next) => {
      isQuiet = next;
    },
    heartbeat,
    /** Its machine is suspended: nothing works, and the steady clock stands still. */
    suspend: async (ms) => {
      const its = life;
      const fromMs = performance.now();
      record.write('suspended', { minion: id });
      resumed = new Promise((resolve) => {
        setTimeout(resolve, ms);
      });
      await resumed;
      const awayMs = performance.now() - fromMs;
      its.suspendedMs += awayMs;
      for (const run of its.live.values()) {
        if (run.workingSinceMs !== undefined) run.workingSinceMs += awayMs;
        if (run.stopAtMs !== undefined) run.stopAtMs += awayMs;
        run.startedMs += awayMs;
      }
      resumed = undefined;
      record.write('resumed', {
        minion: id,
        clockMs: clockOf(its),
        leaseUntilMs: its.leaseUntilMs,
      });
    },
    up: async (next = {}) => {
      id = next.id ?? id;
      labels = next.labels ?? labels;
      await up();
    },
    down,
    drain: (ms) => {
      state = 'draining';
      remainingMs = ms;
      heartbeat();
    },
    leave: async () => {
      tell(`/-/Instances.Deregister/${id}`, { born: life.born });
      await down('left');
    },
    close: async () => {
      clearInterval(ticker);
      if (isUp) await down('closed');
    },
  };
};
