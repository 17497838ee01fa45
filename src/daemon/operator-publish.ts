import * as clock from '../clock';
import * as command from '../command';
import * as configuration from '../configuration';
import * as control from '../control';
import * as operatorReply from './operator-reply';

const { OperatorErrorCode } = command;

/**
 * Validates a publish against its base revision and proposes it to the control state.
 *
 * @param body JSON text of a `command.PublishRequest`
 */
export async function publish(
  plane: control.ControlPlane,
  time: clock.Clock,
  body: string,
): Promise<operatorReply.OperatorReply> {
  const parsed = parse(body);
  if (parsed === undefined || !parsed.success) {
    const problems = parsed?.error.issues.map(
      (issue) => `${issue.path.join('.')}: ${issue.message}`,
    );
    return operatorReply.failure(
      OperatorErrorCode.Invalid,
      'The body is not a valid publish.',
      problems,
    );
  }
  const base = await waitForBase(plane, time, parsed.data.baseRevision);
  const problems = base === undefined ? [] : problemsOf(base, parsed.data);
  return problems.length > 0
    ? operatorReply.failure(
        OperatorErrorCode.Invalid,
        'The documents contradict each other.',
        problems,
      )
    : propose(plane, parsed.data);
}

function parse(body: string) {
  try {
    return command.publishRequestSchema.safeParse(JSON.parse(body));
  } catch {
    return undefined;
  }
}

/**
 * Returns the active snapshot when it is the base of the publish, otherwise `undefined`. Waits for the base
 * revision, because this daemon may lag behind the one from which the operator read it.
 */
async function waitForBase(
  plane: control.ControlPlane,
  time: clock.Clock,
  revision: number,
): Promise<configuration.ConfigurationSnapshot | undefined> {
  const end = time.monotonic() + BASE_WAIT_MILLISECONDS;
  while (plane.configuration().revision < revision && time.monotonic() < end) {
    await time.sleep(BASE_POLL_MILLISECONDS);
  }
  const active = plane.configuration();
  return active.revision === revision ? active : undefined;
}

function problemsOf(
  base: configuration.ConfigurationSnapshot,
  request: command.PublishRequest,
): readonly string[] {
  const { revision } = base;
  const { upserts, removals } = request;
  const delta = { from: revision, to: revision + 1, upserts, removals };
  const documents = [...configuration.applyDelta(base, delta).documents.values()];
  return configuration.checkDocuments(documents).map((problem) => {
    const key = configuration.documentKey(documents[problem.index]);
    return `${key}: ${problem.path.join('.')}: ${problem.message}`;
  });
}

async function propose(
  plane: control.ControlPlane,
  request: command.PublishRequest,
): Promise<operatorReply.OperatorReply> {
  const result = await plane.propose(
    { kind: control.CommandKind.Publish, ...request },
    command.PUBLISH_PROPOSAL_TIMEOUT_MILLISECONDS,
  );
  return result.ok ? replyToResult(result.val) : replyToFailure(result.val);
}

function replyToResult(result: control.CommandResult): operatorReply.OperatorReply {
  const { PublishAccepted, PublishConflict } = control.CommandResultKind;
  switch (result.kind) {
    case PublishAccepted:
      return operatorReply.success({ outcome: PublishAccepted, revision: result.revision });
    case PublishConflict: {
      const { currentRevision, winnerPublishId, winnerAuthor } = result;
      const body = { outcome: PublishConflict, currentRevision, winnerPublishId, winnerAuthor };
      return { status: CONFLICT_STATUS, body };
    }
    default:
      return operatorReply.failure(
        OperatorErrorCode.Internal,
        'The control state gave an unexpected result.',
      );
  }
}

function replyToFailure(failure: control.ProposalFailure): operatorReply.OperatorReply {
  switch (failure) {
    case control.ProposalFailure.NoLeader:
      return operatorReply.failure(
        OperatorErrorCode.NoMajority,
        'No majority of control replicas is reachable; the publish may be committed later.',
      );
    case control.ProposalFailure.Timeout:
      return operatorReply.failure(
        OperatorErrorCode.Timeout,
        'The publish got no result in time; it may be committed.',
      );
    default:
      return operatorReply.failure(
        OperatorErrorCode.ShuttingDown,
        'The daemon is shutting down; the publish may be committed.',
      );
  }
}

const CONFLICT_STATUS = 409;

const BASE_WAIT_MILLISECONDS = 1_000;

const BASE_POLL_MILLISECONDS = 20;
