/**
 * Keeps what all clients of a process cost under its limits, at all of its ports together.
 *
 * When places or buffers are used up, the connection that has made no progress for longest gives way, so that a crowd
 * that stays connected doesn't keep ordinary callers out.
 */
import type * as net from 'node:net';

import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import type * as logging from '../../base/common/logging.js';
import type * as metrics from '../../base/common/metrics.js';
import type * as clientLimits from '../../state/common/clientLimits.js';
import * as connectionState from '../common/connectionState.js';
import * as guardedConnection from './guardedConnection.js';

/** What the guard needs. */
export interface ConnectionGuardOptions {
  readonly limits: clientLimits.ClientLimits;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
}

/** The connections of one port. */
export interface GuardedPort extends disposable.Disposable {
  /** Takes a connection under the limits, or closes it where none can give way; undefined then. */
  readonly admit: (socket: net.Socket) => guardedConnection.GuardedConnection | undefined;
  readonly connections: () => Iterable<guardedConnection.GuardedConnection>;
  /** Closes connections without a request, and those whose request has not arrived for this long. */
  readonly closeUnfinished: (stalledMs: number) => void;
}

/** Limits of a process on its clients. */
export interface ConnectionGuard extends disposable.Disposable {
  readonly limits: clientLimits.ClientLimits;
  /**
   * @param name - name of the port in logs and metrics
   * @param maxConnections - limit of this port, besides that of the process
   */
  readonly openPort: (name: string, maxConnections: number) => GuardedPort;
  /**
   * Accounts for bytes held for a connection's request.
   *
   * @returns whether they fit, if need be after others have given way
   */
  readonly reserve: (connection: guardedConnection.GuardedConnection, bytes: number) => boolean;
  readonly release: (connection: guardedConnection.GuardedConnection, bytes: number) => void;
  /** Counts a request as worked on until the returned function is called; undefined if there are too many. */
  readonly beginRequest: () => (() => void) | undefined;
  /** Counts a client that has met a limit; the log tells of each limit once a second at most. */
  readonly recordLimit: (limit: connectionState.LimitName) => void;
}

/** Interval at which time limits are checked, and limits that clients have met are logged. */
const CHECK_MS = 1000;

/**
 * @param options - limits, clock, log and metrics
 * @returns a guard without ports
 */
export const createConnectionGuard = (options: ConnectionGuardOptions): ConnectionGuard => {
  const { limits, clock: time, log, metrics } = options;
  const all = new Set<guardedConnection.GuardedConnection>();
  const ports = new Map<string, ReadonlySet<guardedConnection.GuardedConnection>>();
  const unreported = new Map<connectionState.LimitName, number>();
  let bufferedBytes = 0;
  let handledRequests = 0;
  let timer: disposable.Disposable | undefined;
  let isDisposed = false;

  const recordLimit = (limit: connectionState.LimitName): void => {
    metrics.count('auburnlift_client_limits_total', { limit });
    unreported.set(limit, (unreported.get(limit) ?? 0) + 1);
  };

  const report = (): void => {
    ports.forEach((own, port) => {
      metrics.gauge('auburnlift_client_connections', own.size, { port });
    });
    metrics.gauge('auburnlift_client_buffered_bytes', bufferedBytes);
    metrics.gauge('auburnlift_client_requests', handledRequests);
    unreported.forEach((clients, limit) => {
      log('warn', 'clientsLimited', { limit, clients, connections: all.size, bufferedBytes });
    });
    unreported.clear();
  };

  /** Ends a connection; one whose body is broken off is first answered that nothing ran. */
  const close = (
    connection: guardedConnection.GuardedConnection,
    limit: connectionState.LimitName,
  ): void => {
    if (connection.breakOffBody === undefined) {
      connection.destroy();
      return;
    }
    connection.phase = connectionState.Phase.closing;
    connection.sinceMs = time.monotonicMs();
    connection.breakOffBody(limit);
  };

  const checkTimes = (): void => {
    const nowMs = time.monotonicMs();
    for (const connection of all) {
      const passed = connectionState.passedLimit(connection, limits, nowMs);
      if (passed !== undefined) {
        const isOrdinary =
          passed === connectionState.LimitName.idleTime ||
          connection.phase === connectionState.Phase.closing;
        if (!isOrdinary) recordLimit(passed);
        close(connection, passed);
      }
    }
  };

  const scheduleCheck = (): void => {
    if (isDisposed || timer !== undefined) return;
    timer = time.after(CHECK_MS, () => {
      timer = undefined;
      checkTimes();
      report();
      if (all.size > 0) scheduleCheck();
    });
  };

  const account = (connection: guardedConnection.GuardedConnection, bytes: number): void => {
    connection.heldBytes += bytes;
    bufferedBytes += bytes;
  };

  /** Frees buffers; what is worked on, and the connection that asks, keep theirs. */
  const freeBytes = (asking: guardedConnection.GuardedConnection): void => {
    while (bufferedBytes > limits.maxBufferedBytes) {
      const holding = [...all].filter((it) => it !== asking && it.heldBytes > 0);
      const chosen = connectionState.chooseToGiveWay(holding, time.monotonicMs());
      if (chosen === undefined) return;
      const before = bufferedBytes;
      recordLimit(connectionState.LimitName.bufferedBytes);
      close(chosen, connectionState.LimitName.bufferedBytes);
      if (bufferedBytes === before) chosen.destroy();
      if (bufferedBytes === before) return;
    }
  };

  const reserve: ConnectionGuard['reserve'] = (connection, bytes) => {
    account(connection, bytes);
    if (bufferedBytes > limits.maxBufferedBytes) freeBytes(connection);
    return bufferedBytes <= limits.maxBufferedBytes;
  };

  const openPort: ConnectionGuard['openPort'] = (name, maxConnections) => {
    const own = new Set<guardedConnection.GuardedConnection>();
    ports.set(name, own);

    /** Makes a place; the victim's descriptor is free as soon as it is destroyed. */
    const hasPlace = (): boolean => {
      const isPortFull = own.size >= maxConnections;
      if (!isPortFull && all.size < limits.maxConnections) return true;
      const chosen = connectionState.chooseToGiveWay(isPortFull ? own : all, time.monotonicMs());
      recordLimit(connectionState.LimitName.connections);
      if (chosen === undefined) return false;
      chosen.destroy();
      return true;
    };

    const admit = (socket: net.Socket): guardedConnection.GuardedConnection | undefined => {
      if (isDisposed || !hasPlace()) {
        socket.destroy();
        return undefined;
      }
      const connection = guardedConnection.guardConnection(socket, {
        limits,
        nowMs: time.monotonicMs,
        recordLimit,
        account: (it, bytes) => {
          account(it, bytes);
          if (bytes > 0 && bufferedBytes > limits.maxBufferedBytes) freeBytes(it);
        },
        onDidClose: () => {
          own.delete(connection);
          all.delete(connection);
        },
      });
      own.add(connection);
      all.add(connection);
      scheduleCheck();
      return connection;
    };

    return {
      admit,
      connections: () => own,
      closeUnfinished: (stalledMs) => {
        const nowMs = time.monotonicMs();
        for (const connection of own) {
          const { phase, sinceMs } = connection;
          const isWaiting =
            phase === connectionState.Phase.head || phase === connectionState.Phase.body;
          if (phase === connectionState.Phase.idle || (isWaiting && nowMs - sinceMs >= stalledMs)) {
            connection.destroy();
          }
        }
      },
      dispose: () => {
        own.forEach((it) => it.destroy());
        return Promise.resolve();
      },
    };
  };

  return {
    limits,
    openPort,
    reserve,
    release: (connection, bytes) => account(connection, -bytes),
    beginRequest: () => {
      if (handledRequests >= limits.maxHandledRequests) {
        recordLimit(connectionState.LimitName.handledRequests);
        return undefined;
      }
      handledRequests += 1;
      return () => {
        handledRequests -= 1;
      };
    },
    recordLimit,
    dispose: async () => {
      isDisposed = true;
      await timer?.dispose();
    },
  };
};
