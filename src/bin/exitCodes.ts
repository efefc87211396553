/** Exit codes that scripts can rely on. */

/** The command did what it was asked. */
export const EXIT_OK = 0;
/** It could not: a refused job, a rejected command, a broken promise, a failed daemon. */
export const EXIT_FAILED = 1;
/** The words of the call, or the settings, are wrong. */
export const EXIT_USAGE = 2;
