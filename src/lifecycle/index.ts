/** Registration and closing of resources: sockets, timers, files and tasks. */
export * from './lifecycle-manager';
