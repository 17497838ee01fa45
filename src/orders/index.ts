/** Brings the engines of each model service to the weights version of its document. */
export * from './desired-service';
export * from './effect';
export * from './engine-lease';
export * from './event';
export * from './order-task';
export * from './parameters';
export * from './progress';
export * from './state';
export * from './update';
