/** Relays requests by host, path prefix and prompt parts, without reading their bodies. */
export * from './control-daemon';
export * from './control-service';
export * from './header-codec';
export * from './gateway-daemon';
export * from './load-exchange';
export type { InFlightLoad } from './load-table';
export * from './placement-buffer';
export * from './routing-source';
export * from './graceful-stop';
