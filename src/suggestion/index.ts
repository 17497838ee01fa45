/** Suggests the valid name that is most similar to a misspelt one; used in error messages. */
export * from './nearest-name';
