/** Lowest level that is logged. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent';
