/** Finds the known name that a misspelt one was probably meant to be; used in error messages. */
export * from './nearest-name';
