/**
 * Imported first by the commands that run daemons: `SIGHUP` says that settings have changed, and its default would end a
 * process that is still loading. What it says is read from the file later in the start.
 */
process.on('SIGHUP', () => undefined);
