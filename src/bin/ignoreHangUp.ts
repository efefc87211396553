/**
 * Ignores `SIGHUP`, whose default action would terminate a process that is still loading. Must be imported
 * first. A daemon reads its settings later during startup, so that no change is lost.
 */
process.on('SIGHUP', () => undefined);
