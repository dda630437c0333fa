/**
 * Watches the settings file for changes, by polling and on SIGHUP.
 */
import * as fs from 'node:fs';

import type * as clock from '../base/common/clock.js';
import type * as disposable from '../base/common/disposable.js';
import * as errors from '../base/common/errors.js';
import type * as logging from '../base/common/logging.js';
import type * as poolSettings from '../state/common/pool/poolSettings.js';
import * as bootSettings from './bootSettings.js';

/** Polling interval: changes without a signal are applied within this time. */
const POLL_INTERVAL_MS = 2000;

/** Options of the watch. */
export interface SettingsWatchOptions {
  readonly path: string;
  readonly program: bootSettings.PoolProgram;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Called with the settings whenever the file's content has changed. */
  readonly onDidChange: (settings: poolSettings.PoolSettings) => void;
}

/**
 * @param options - options of the watch
 * @returns the watch, which runs until it is disposed
 */
export const watchSettings = (options: SettingsWatchOptions): disposable.Disposable => {
  const { path, program, log } = options;
  let isDisposed = false;
  let lastText = fs.readFileSync(path, 'utf8');

  const checkFile = (cause: string): void => {
    try {
      const text = fs.readFileSync(path, 'utf8');
      const isChanged = text !== lastText;
      if (cause === 'signal' || isChanged) log('info', 'settingsReload', { cause, isChanged });
      if (!isChanged) return;
      const settings = bootSettings.parseBootSettings(text, path, program);
      lastText = text;
      options.onDidChange(settings);
    } catch (thrown) {
      // The process keeps its current settings; a partially written file is read again at the next poll.
      log('error', 'settingsUnreadable', { path, reason: errors.normalize(thrown).message });
    }
  };
  const onSignal = (): void => checkFile('signal');
  const poll = (): void => {
    if (isDisposed) return;
    checkFile('change');
    options.clock.after(POLL_INTERVAL_MS, poll);
  };
  process.on('SIGHUP', onSignal);
  options.clock.after(POLL_INTERVAL_MS, poll);
  return {
    dispose: () => {
      isDisposed = true;
      process.off('SIGHUP', onSignal);
    },
  };
};
