/**
 * Lifecycle of a pool program: settings, start, reloads, a signal, a graceful shutdown.
 */
import * as errorKinds from '../base/common/errorKinds.js';
import * as errors from '../base/common/errors.js';
import * as bootSettings from '../platform/bootSettings.js';
import * as settingsWatch from '../platform/settingsWatch.js';

import * as poolContext from './poolContext.js';

const waitForSignal = (): Promise<string> =>
  new Promise((resolve) => {
    process.once('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });

const runUntilSignal = async (
  role: bootSettings.PoolProgram,
  start: (ctx: poolContext.PoolContext) => Promise<poolContext.PoolProgram>,
): Promise<void> => {
  const path = bootSettings.bootSettingsPath();
  let settings = bootSettings.readBootSettings(path, role);
  const ctx = poolContext.createPoolContext(role, () => settings);
  const stopped = waitForSignal();
  const program = await start(ctx);
  const watch = settingsWatch.watchSettings({
    path,
    program: role,
    clock: ctx.clock,
    log: ctx.log,
    onDidChange: (changed) => {
      settings = changed;
    },
  });
  ctx.log('info', 'started', {
    peers: settings.peers.port,
    zone: settings.zone,
    region: settings.region,
    startMs: Math.round(process.uptime() * 1000),
  });
  const signal = await stopped;
  ctx.log('info', 'stopping', { signal });
  void watch.dispose();
  await program.shutdown();
  ctx.log('info', 'stopped', { signal });
};

/**
 * Runs a program until SIGTERM or SIGINT, then shuts it down gracefully and exits.
 *
 * @param role - which program
 * @param start - starts it
 */
export const runPoolMain = async (
  role: bootSettings.PoolProgram,
  start: (ctx: poolContext.PoolContext) => Promise<poolContext.PoolProgram>,
): Promise<void> => {
  try {
    await runUntilSignal(role, start);
    process.exit(0);
  } catch (thrown) {
    const error = errors.normalize(thrown);
    process.stderr.write(`${error.message}\n`);
    process.exit(errorKinds.ERROR_TABLE[error.kind].exitCode);
  }
};
