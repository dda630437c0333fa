/** Stand-in for a minion, by "Running tasks" and "Service discovery" of PROTOCOL.md. */
import * as http from 'node:http';

const HEARTBEAT_TIMEOUT_MS = 1000;
const LEASE_CHECK_MS = 20;
const MAX_LISTED = 500;
const MAX_WAIT_MS = 2000;
const STARTUP_MS = 300;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

/**
 * Starts a minion. The spec of its tasks is JSON: `ms` is the work of a task; without it, the task lasts.
 *
 * @param options - `host`, `port`, `control` (port of the agent), `id`, `backend`, `zone`, `labels`, `capacity`,
 *   `heartbeatMs`, `holdMaxMs`, `stopMs`, `cpuOf` (processor of a task), `record` (text) and `runs`, where every run is added
 * @returns the minion
 */
export const startMinion = async (options) => {
  const { record, runs } = options;
  const born = Date.now();
  const startedAtMs = performance.now();
  const live = new Map();
  const refusedUpTo = new Map();
  const waiters = new Set();
  let ended = [];
  let sequence = 0;
  let fence = 0;
  let leaseUntilMs = 0;
  let beats = 0;
  let isUp = true;

  const clockMs = () => Math.floor(performance.now() - startedAtMs);
  const wake = () => {
    for (const waiter of [...waiters]) waiter();
  };
  const end = (it, how) => {
    if (it.how !== undefined) return;
    clearTimeout(it.timer);
    it.how = how;
    it.endedAtMs = performance.now();
    live.delete(it.task);
    refusedUpTo.set(it.task, Math.max(it.run, refusedUpTo.get(it.task) ?? 0));
    sequence += 1;
    it.sequence = sequence;
    ended.push(it);
    record(`${options.id} ended ${it.task} run ${it.run}: ${how}`);
    wake();
  };
  const renew = (deadlineMs) => {
    if (deadlineMs === undefined) return;
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(deadlineMs, clockMs() + options.holdMaxMs));
  };
  const leaseTimer = setInterval(() => {
    if (clockMs() > leaseUntilMs) for (const it of [...live.values()]) end(it, 'lapsed');
  }, LEASE_CHECK_MS);

  const start = (body) => {
    const { task, run, spec } = body;
    renew(body.deadline_ms);
    if (live.get(task)?.run === run) return [200, {}];
    if (live.has(task) || run <= (refusedUpTo.get(task) ?? 0)) return [409, { reason: 'old' }];
    if (body.deadline_ms <= clockMs()) return [409, { reason: 'late' }];
    const it = { minion: options.id, task, run, spec, startedAtMs: performance.now() };
    it.workMs = JSON.parse(spec).ms;
    if (it.workMs !== undefined) it.timer = setTimeout(() => end(it, 'done'), it.workMs);
    live.set(task, it);
    runs.push(it);
    record(`${options.id} started ${task} run ${run}`);
    return [200, {}];
  };
  const stop = ({ task, run }) => {
    refusedUpTo.set(task, Math.max(run, refusedUpTo.get(task) ?? 0));
    const it = live.get(task);
    if (it?.run === run) setTimeout(() => end(it, 'stopped'), options.stopMs / 2);
    return [200, {}];
  };
  const hold = async (body) => {
    renew(body.deadline_ms);
    const seenUpTo = body.seen_upto ?? 0;
    for (const it of ended) {
      if (it.sequence <= seenUpTo && it.notedAtMs === undefined) {
        it.notedAtMs = performance.now();
        record(`${options.id} end of ${it.task} run ${it.run} is taken note of`);
      }
    }
    ended = ended.filter((it) => it.sequence > seenUpTo);
    const waitMs = Math.min(MAX_WAIT_MS, body.wait_ms ?? 0);
    if (ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, waitMs);
        waiters.add(done);
      });
    }
    const percentOf = (it) => {
      if (it.workMs === undefined) {
        return performance.now() - it.startedAtMs < STARTUP_MS ? 0 : 100;
      }
      return Math.min(99, Math.floor((100 * (performance.now() - it.startedAtMs)) / it.workMs));
    };
    return [
      200,
      {
        running: [...live.values()].map((it) => [
          it.task,
          it.run,
          '',
          percentOf(it),
          options.cpuOf(it.task),
        ]),
        ended: ended.slice(0, MAX_LISTED).map((it) => [it.sequence, it.task, it.run, it.how, '']),
      },
    ];
  };

  const answer = async (request) => {
    const body = JSON.parse(await readBody(request));
    const expected = request.headers['auburnlift-expect-instance'];
    if (expected !== undefined && expected !== options.id) return [421, {}];
    if ((body.fence ?? 0) < fence) return [409, { reason: 'fence' }];
    fence = body.fence ?? 0;
    if (request.url === '/-/run-start') return start(body);
    if (request.url === '/-/run-stop') return stop(body);
    if (request.url === '/-/hold') return hold(body);
    return [404, {}];
  };
  const server = http.createServer(async (request, response) => {
    try {
      const [status, body] = await answer(request);
      if (!isUp || response.destroyed) return;
      const text = JSON.stringify({ ...body, clock_ms: clockMs(), born });
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        'auburnlift-instance-id': options.id,
      });
      response.end(text);
    } catch {
      response.destroy();
    }
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });

  const beat = async () => {
    if (!isUp) return;
    beats += 1;
    const body = {
      backend: options.backend,
      addr: `${options.host}:${options.port}`,
      zone: options.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      capacity: options.capacity,
      labels: options.labels,
      clock_ms: clockMs(),
      born,
      seq: beats,
    };
    try {
      await fetch(`http://${options.host}:${options.control}/-/Instances.Heartbeat/${options.id}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS),
      });
    } catch {
      // Not acknowledged; the next heartbeat follows in time.
    }
  };
  const beatTimer = setInterval(() => void beat(), options.heartbeatMs);
  void beat();

  return {
    id: options.id,
    isUp: () => isUp,
    close: () => {
      isUp = false;
      clearInterval(beatTimer);
      clearInterval(leaseTimer);
      for (const it of live.values()) clearTimeout(it.timer);
      server.close();
      server.closeAllConnections();
    },
  };
};
