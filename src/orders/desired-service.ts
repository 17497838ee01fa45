import * as configuration from '../configuration';

/** A weights version that an operator has set as the desired one. */
export interface DesiredVersion {
  readonly weightsVersion: string;
  /** Monotonic time in milliseconds. */
  readonly namedAt: number;
}

/** The weights version that the active configuration requires for one service. */
export interface DesiredService {
  readonly name: string;
  readonly weightsVersion: string;
  /** Versions whose roll-outs may not have ended, oldest first; absent if their times are unknown. */
  readonly desiredVersions?: readonly DesiredVersion[];
}

/**
 * The desired state of all model services in a configuration.
 *
 * @example
 * desiredServices(plane.configuration()); // [{ name: 'inspection-desk', weightsVersion: 'v2' }]
 */
export function desiredServices(
  snapshot: configuration.ConfigurationSnapshot,
): readonly DesiredService[] {
  return [...snapshot.documents.values()].flatMap((document) =>
    document.kind === configuration.DocumentKind.Service &&
    document.type === configuration.ServiceType.ModelEngine
      ? [{ name: document.name, weightsVersion: document.weightsVersion }]
      : [],
  );
}
