/**
 * Imported before anything else by a program that reloads its settings on SIGHUP: until somebody listens,
 * that signal ends a process. One that came while the program was still loading its libraries ended it
 * in place of a reload.
 */
process.on('SIGHUP', () => undefined);
