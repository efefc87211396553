/** Exit codes other than 0 (success). */

/** The command failed: refused job, rejected statement, failed check, failed daemon. */
export const EXIT_FAILED = 1;
/** Invalid arguments or settings. */
export const EXIT_USAGE = 2;
