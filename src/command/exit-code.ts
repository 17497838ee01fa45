/** Exit codes of `figline`; scripts rely on them. */
export enum ExitCode {
  Success = 0,
  InternalError = 1,
  Usage = 2,
  InvalidConfiguration = 3,
  Conflict = 4,
  DaemonsLag = 5,
  Unreachable = 6,
  OutcomeUnknown = 7,
  Unauthorized = 8,
  ChangesExist = 9,
  Refused = 10,
}

/** The meaning of each exit code; help and docs/OPERATIONS.md show the same sentences. */
export const EXIT_CODE_MEANINGS: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Success]: 'done; after publish: the revision is active on every live daemon',
  [ExitCode.InternalError]: 'a fault of figline itself',
  [ExitCode.Usage]: 'wrong command, flag, variable or token file; nothing was sent',
  [ExitCode.InvalidConfiguration]: 'a configuration file is wrong; nothing was published',
  [ExitCode.Conflict]: 'another publish was accepted first; nothing was published',
  [ExitCode.DaemonsLag]: 'published, but a live daemon has not reported the revision in time',
  [ExitCode.Unreachable]: 'no daemon could be reached; nothing was published',
  [ExitCode.OutcomeUnknown]: 'no daemon confirmed the publish; run it again with its publish id',
  [ExitCode.Unauthorized]: 'the daemon does not accept the operator token; nothing was published',
  [ExitCode.ChangesExist]: 'diff only: the files differ from the active configuration',
  [ExitCode.Refused]:
    'publish would remove documents and --allow-removals is not given, or a daemon refused',
};
