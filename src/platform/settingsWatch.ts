/**
 * Notices that the settings file has changed, by SIGHUP or without any signal.
 */
import * as fs from 'node:fs';

import type * as clock from '../base/common/clock.js';
import type * as disposable from '../base/common/disposable.js';
import * as errors from '../base/common/errors.js';
import type * as logging from '../base/common/logging.js';
import type * as poolSettings from '../state/common/pool/poolSettings.js';
import * as bootSettings from './bootSettings.js';

/** How often the file is looked at: changes without a signal are taken within this time. */
const LOOK_MS = 2000;

/** What the watch needs. */
export interface SettingsWatchOptions {
  readonly path: string;
  readonly program: bootSettings.PoolProgram;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Hears settings that differ from the last ones. */
  readonly onDidChange: (settings: poolSettings.PoolSettings) => void;
}

/**
 * @param options - what the watch needs
 * @returns the watch, which looks until it is disposed
 */
export const watchSettings = (options: SettingsWatchOptions): disposable.Disposable => {
  const { path, program, log } = options;
  let isDisposed = false;
  let lastText = fs.readFileSync(path, 'utf8');

  const look = (cause: string): void => {
    try {
      const text = fs.readFileSync(path, 'utf8');
      const isChanged = text !== lastText;
      if (cause === 'signal' || isChanged) log('info', 'settingsReload', { cause, isChanged });
      if (!isChanged) return;
      const settings = bootSettings.parseBootSettings(text, path, program);
      lastText = text;
      options.onDidChange(settings);
    } catch (thrown) {
      // The process goes on with the settings that it has; a half-written file is read again soon.
      log('error', 'settingsUnreadable', { path, reason: errors.normalize(thrown).message });
    }
  };
  const onSignal = (): void => look('signal');
  const repeat = (): void => {
    if (isDisposed) return;
    look('change');
    options.clock.after(LOOK_MS, repeat);
  };
  process.on('SIGHUP', onSignal);
  options.clock.after(LOOK_MS, repeat);
  return {
    dispose: () => {
      isDisposed = true;
      process.off('SIGHUP', onSignal);
    },
  };
};
