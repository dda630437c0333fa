/**
 * Stand-in for a minion, written from PROTOCOL.md: run-start, run-stop, pace and hold with fences, leases on its own
 * clock, run ends that are listed until they are taken note of, and heartbeats.
 */
import http from 'node:http';

const MAX_LISTED_ENDS = 500;
const LEASE_CHECK_MS = 50;
const STOP_MS = 50;

export const startMinion = async (options) => {
  const { id, host, port, control, backend, zone, capacity, labels, holdMaxMs, heartbeatMs } =
    options;
  const { durationOf, onStart, onEnd, onSeen, onLapse } = options;
  const born = Date.now();
  const bornAt = performance.now();
  const running = new Map();
  const refusedUpTo = new Map();
  const waiters = new Set();
  let ended = [];
  let endCount = 0;
  let fence = 0;
  let leaseUntil = 0;
  let sequence = 0;
  let state = 'ready';
  const faults = { refusesStarts: false };
  const clockMs = () => Math.floor(performance.now() - bornAt);

  const end = (task, how) => {
    const it = running.get(task);
    if (it === undefined) return;
    clearTimeout(it.timer);
    running.delete(task);
    refusedUpTo.set(task, Math.max(it.run, refusedUpTo.get(task) ?? 0));
    endCount += 1;
    ended.push([endCount, task, it.run, how, '']);
    onEnd({ id, task, run: it.run, how, number: endCount });
    for (const wake of [...waiters]) wake();
  };
  const extend = (deadline) => {
    if (typeof deadline !== 'number') return;
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, clockMs() + holdMaxMs));
  };
  const leaseTimer = setInterval(() => {
    if (clockMs() <= leaseUntil) return;
    onLapse({ id, listed: ended.map(([number]) => number) });
    for (const task of [...running.keys()]) end(task, 'lapsed');
  }, LEASE_CHECK_MS);

  const start = (body) => {
    const { task, run, spec, deadline_ms: deadline } = body;
    if (deadline <= clockMs()) return [409, { reason: 'late' }];
    extend(deadline);
    const current = running.get(task);
    if (current?.run === run) return [200, {}];
    if (current !== undefined || run <= (refusedUpTo.get(task) ?? 0))
      return [409, { reason: 'old' }];
    const durationMs = durationOf(task);
    const it = { run, startedAt: performance.now(), durationMs };
    // A task that lasts has no end of its own.
    if (Number.isFinite(durationMs)) it.timer = setTimeout(() => end(task, 'done'), durationMs);
    running.set(task, it);
    onStart({ id, task, run, spec });
    return [200, {}];
  };
  const stop = ({ task, run }) => {
    refusedUpTo.set(task, Math.max(run, refusedUpTo.get(task) ?? 0));
    if (running.get(task)?.run === run) setTimeout(() => end(task, 'stopped'), STOP_MS);
    return [200, {}];
  };
  const hold = async (body) => {
    const { seen_upto: seenUpTo = 0, wait_ms: waitMs = 0, deadline_ms: deadline } = body;
    const seen = ended.filter(([number]) => number <= seenUpTo);
    for (const [number, task, run] of seen) onSeen({ id, number, task, run });
    ended = ended.filter(([number]) => number > seenUpTo);
    extend(deadline);
    if (ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, Math.min(2000, waitMs));
        waiters.add(done);
      });
    }
    const rows = [...running].map(([task, { run, startedAt, durationMs }]) => {
      const share = (performance.now() - startedAt) / durationMs;
      const percent = Number.isFinite(durationMs) ? Math.min(99, Math.floor(100 * share)) : 100;
      return [task, run, '', percent, 0];
    });
    return [200, { born, running: rows, ended: ended.slice(0, MAX_LISTED_ENDS) }];
  };

  const handle = async (request) => {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const expected = request.headers['auburnlift-expect-instance'];
    if (expected !== undefined && expected !== id) return [421, {}];
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
    if ((body.fence ?? 0) < fence) return [409, { reason: 'fence' }];
    if (faults.refusesStarts && request.url === '/-/run-start') return [503, {}];
    fence = body.fence ?? 0;
    if (request.url === '/-/run-start') return start(body);
    if (request.url === '/-/run-stop') return stop(body);
    if (request.url === '/-/pace') return [200, {}];
    if (request.url === '/-/hold') return hold(body);
    return [404, {}];
  };
  const server = http.createServer((request, response) => {
    handle(request).then(
      ([status, body]) => {
        const text = JSON.stringify({ clock_ms: clockMs(), ...body });
        response.writeHead(status, {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        });
        response.end(text);
      },
      () => response.destroy(),
    );
  });
  await new Promise((resolve) => server.listen(port, host, resolve));

  const post = (path, body) =>
    new Promise((resolve) => {
      const request = http.request(
        { ...control, method: 'POST', path, agent: false },
        (response) => {
          response.resume();
          response.on('end', () => resolve(response.statusCode));
        },
      );
      request.setTimeout(1000, () => request.destroy());
      request.on('error', () => resolve(0));
      request.setHeader('content-type', 'application/json');
      request.end(JSON.stringify(body));
    });
  const beat = () => {
    sequence += 1;
    return post(`/-/Instances.Heartbeat/${id}`, {
      backend,
      addr: `${host}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state,
      cold_left_ms: 0,
      capacity,
      labels,
      clock_ms: clockMs(),
      seq: sequence,
      born,
    });
  };
  const beats = setInterval(beat, heartbeatMs);
  void beat();
  return {
    id,
    faults,
    born,
    running,
    leaseLeftMs: () => leaseUntil - clockMs(),
    post,
    close: () => {
      clearInterval(beats);
      clearInterval(leaseTimer);
      for (const it of running.values()) clearTimeout(it.timer);
      server.close();
      server.closeAllConnections();
    },
  };
};
