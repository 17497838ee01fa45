import * as results from 'ts-results';
import * as configuration from '../configuration';
import * as verdict from '../verdict';

/** A model name resolved for a team. */
export interface ResolvedIntent {
  readonly intent: configuration.IntentDocument;
  readonly service: configuration.ModelServiceDocument;
}

type Resolution<Value> = results.Result<Value, verdict.RequestFailure>;

/** Models and routes that each team may use in one revision of the configuration; refuses all others. */
export class Catalog {
  readonly revision: number;

  private readonly lookup: configuration.ConfigurationLookup;

  constructor(
    private readonly snapshot: configuration.ConfigurationSnapshot,
    /** Whether nothing newer than this revision can be in force. */
    private readonly isRecent: () => boolean = () => true,
  ) {
    this.revision = snapshot.revision;
    this.lookup = configuration.lookupOf(snapshot);
  }

  /** The failure to answer with instead of `failure`, if the copy may lack what it says is unknown. */
  refusal(failure: verdict.RequestFailure): verdict.RequestFailure {
    return verdict.refusalFromCopy(failure, this.isRecent());
  }

  /**
   * The team that owns a credential.
   *
   * @param credentialHash SHA-256 of the bearer credential, in lower-case hexadecimal
   */
  team(credentialHash: string): configuration.TeamDocument | undefined {
    return this.lookup.teamByCredentialHash(credentialHash);
  }

  /** The intents that a team may name in `model`, in the order of their names. */
  intents(team: configuration.TeamDocument): readonly configuration.IntentDocument[] {
    return [...this.snapshot.documents.values()]
      .filter(
        (document): document is configuration.IntentDocument =>
          document.kind === configuration.DocumentKind.Intent &&
          team.services.includes(document.service),
      )
      .sort((left, right) => left.name.localeCompare(right.name));
  }

  /**
   * Finds the model service behind the name in `model`.
   *
   * @example
   * catalog.resolveIntent(team, 'history-reading').map(({ service }) => service.model);
   */
  resolveIntent(team: configuration.TeamDocument, name: string): Resolution<ResolvedIntent> {
    const intent = this.lookup.intentByModel(name);
    if (intent === undefined || !team.services.includes(intent.service)) {
      return new results.Err(this.refusal(UNKNOWN_MODEL));
    }
    const service = this.lookup.serviceByName(intent.service);
    return service?.type === configuration.ServiceType.ModelEngine
      ? new results.Ok({ intent, service })
      : new results.Err(this.refusal(UNKNOWN_MODEL));
  }

  /** Finds the route of a plain service; `path` may have a query string. */
  resolveRoute(
    team: configuration.TeamDocument,
    method: string,
    path: string,
  ): Resolution<configuration.RouteMatch> {
    const found = this.lookup.routeFor(method, path);
    if (found === undefined) {
      return new results.Err(this.refusal(UNKNOWN_ROUTE));
    }
    return team.services.includes(found.service.name)
      ? new results.Ok(found)
      : new results.Err(this.refusal(SERVICE_NOT_ALLOWED));
  }
}

const { FailureReason, Verdict } = verdict;

const UNKNOWN_MODEL = verdict.failure(
  FailureReason.UnknownRoute,
  Verdict.NotRun,
  'The model does not exist or the team may not use it.',
);

const UNKNOWN_ROUTE = verdict.failure(
  FailureReason.UnknownRoute,
  Verdict.NotRun,
  'No service takes this method and path.',
);

const SERVICE_NOT_ALLOWED = verdict.failure(
  FailureReason.Forbidden,
  Verdict.NotRun,
  'The team may not use this service.',
);
