/** Whether a backend server may have executed a request; every failure in figline has such a verdict. */
export * from './verdict';
export * from './outdated-copy';
export * from './request-failure';
