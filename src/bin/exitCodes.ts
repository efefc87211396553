/** Exit codes that scripts can rely on, besides 0 for done. */

/** It could not: a refused job, a rejected command, a broken promise, a failed daemon. */
export const EXIT_FAILED = 1;
/** The words of the call, or the settings, are wrong. */
export const EXIT_USAGE = 2;
