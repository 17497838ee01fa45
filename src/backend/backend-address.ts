/** Address at which one backend server listens. */
export interface BackendAddress {
  /** Id of the server on the platform's list; appears in failures and logs. */
  readonly serverId: string;
  /** IP address. */
  readonly host: string;
  readonly port: number;
}
