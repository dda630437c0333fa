/**
 * Imported first by a program that reloads its settings on SIGHUP: without a listener that signal ends the
 * process, so a reload requested while the program is still loading its libraries would end it.
 */
process.on('SIGHUP', () => undefined);
