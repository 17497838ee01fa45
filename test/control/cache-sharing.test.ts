import * as fastCheck from 'fast-check';
import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as registerStore from '../../src/control/register-store';
import * as stateMachine from '../../src/control/state-machine';
import * as cacheNamespace from '../../src/gateway/cache-namespace';
import * as controlService from '../../src/gateway/control-service';

const suite = uvu.suite('teams that share cached prompt parts');

const TEAMS = ['depot', 'market', 'treasury'];

/** Names of the isolated and of the sharing teams of a routing document; the others are not in it. */
type Document = readonly [isolated: readonly string[], sharing: readonly string[]];

/** The replicated state behind the operator's calls. */
class Operator {
  private state = stateMachine.EMPTY_CONTROL_STATE;

  private version = 0;

  private readonly service = new controlService.ControlService(
    {
      propose: async (command: control.Command) => new results.Ok(this.apply(command)),
      register: () => this.state.register,
    } as unknown as control.ControlPlane,
    new clock.ManualClock(),
  );

  get since(): number | undefined {
    return this.state.register.cacheSharing?.since;
  }

  async put([isolated, sharing]: Document): Promise<number | undefined> {
    this.version += 1;
    const teams = [
      ...isolated.map((name) => ({ name, credentials: [], isIsolated: true })),
      ...sharing.map((name) => ({ name, credentials: [], isIsolated: false })),
    ];
    const written = await this.service.putRouting(this.version, `text ${this.version}`, teams);
    assert.ok(written.ok);
    return this.since;
  }

  /** A document that came through a process of the release before, which does not tell the teams. */
  putWithoutTeams(): number | undefined {
    this.version += 1;
    this.apply({ kind: control.CommandKind.PutRouting, version: this.version, text: '' });
    return this.since;
  }

  /** All replicas start again from their snapshots. */
  restart(): void {
    this.state = stateMachine.decodeState(stateMachine.encodeState(this.state));
  }

  private apply(command: control.Command): control.CommandResult {
    const applied = stateMachine.apply(this.state, command, 0);
    this.state = applied.state;
    return applied.result;
  }
}

async function sinceAfter(...documents: Document[]): Promise<number | undefined> {
  const operator = new Operator();
  for (const document of documents) {
    await operator.put(document);
  }
  return operator.since;
}

// Guards against parts of a team that others still use after it has become isolated.
suite('the others share anew when a team that has shared becomes isolated', async () => {
  assert.is(await sinceAfter([[], TEAMS]), undefined);
  assert.is(await sinceAfter([[], TEAMS], [['treasury'], ['depot', 'market']]), 2);
  assert.is(await sinceAfter([[], TEAMS], [['treasury', 'market'], ['depot']]), 2);
  assert.is(await sinceAfter([[], TEAMS], [[], ['depot']], [['treasury'], ['depot']]), 3);
  const again: Document[] = [
    [[], TEAMS],
    [['treasury'], ['depot']],
    [[], TEAMS],
    [['treasury'], ['depot']],
  ];
  assert.is(await sinceAfter(...again), 4);
});

// Load pattern: hundreds of teams change each day, and with each restart of their cache all prefixes are read again.
suite('no other change of teams costs the others their cached parts', async () => {
  const [first, ...others]: Document[] = [
    [['treasury'], ['depot']],
    [['treasury', 'new'], ['depot']],
    [['new'], ['depot', 'market']],
    [[], ['depot', 'market', 'new', 'treasury']],
    [[], ['depot']],
  ];
  assert.is(await sinceAfter(first), undefined);
  for (const document of others) {
    assert.is(await sinceAfter(first, document), undefined, JSON.stringify(document));
  }
  assert.is(await sinceAfter(first, others[0], others[1]), undefined);
});

// Guards against an upgrade after which nobody knows which teams have shared.
suite('teams that are not known share anew with the next document that isolates one', async () => {
  const operator = new Operator();
  assert.is(operator.putWithoutTeams(), undefined);
  assert.is(await operator.put([[], ['depot']]), undefined);
  assert.is(await operator.put([['treasury'], ['depot']]), 3);
  assert.is(await operator.put([['treasury', 'market'], ['depot']]), 3);
  assert.is(operator.putWithoutTeams(), 5);
  assert.is(await operator.put([['treasury'], ['depot']]), 6);
});

const documents = fastCheck.array(
  fastCheck
    .tuple(...TEAMS.map(() => fastCheck.constantFrom('isolated', 'sharing', 'absent')))
    .map((roles): Document => {
      const withRole = (role: string) => TEAMS.filter((_, index) => roles[index] === role);
      return [withRole('isolated'), withRole('sharing')];
    }),
  { minLength: 1, maxLength: 12 },
);

// Guards against any history of documents and restarts after which a part crosses the wall of a team.
suite('two teams of which one is isolated never use the same namespace', () =>
  fastCheck.assert(
    fastCheck.asyncProperty(documents, fastCheck.nat(), async (history, restartAt) => {
      const operator = new Operator();
      const makers = new Map<string, Set<string>>();
      for (const [index, [isolated, sharing]] of history.entries()) {
        if (index === restartAt % history.length) {
          operator.restart();
        }
        const since = await operator.put([isolated, sharing]);
        const shared = cacheNamespace.sharedNamespace('desk', since);
        const used = [
          ...sharing.map((team) => [team, shared]),
          ...isolated.map((team) => [team, cacheNamespace.isolatedNamespace('desk', { team })]),
        ];
        used.forEach(([team, namespace]) => {
          makers.set(namespace, (makers.get(namespace) ?? new Set()).add(team));
        });
        used.forEach(([team, namespace]) => {
          const foreign = [...makers.get(namespace)!].filter((maker) => maker !== team);
          const across = foreign.filter(
            (maker) => isolated.includes(maker) || isolated.includes(team),
          );
          assert.equal(across, [], `${team} uses ${namespace}`);
        });
      }
    }),
    { seed: 42, numRuns: 500 },
  ),
);

// Guards against names that read as a separator, with which two namespaces are the same text.
suite('namespaces of other models, teams and times are other texts', () => {
  const names = [
    '',
    'a',
    'b',
    'a.b',
    'a:2',
    'a%2e',
    'b.a',
    '2',
    'a!',
    'a ',
    'a%u20;',
    'ä',
    '\u{2028}',
  ];
  const texts = names.flatMap((model) => [
    cacheNamespace.sharedNamespace(model, undefined),
    cacheNamespace.sharedNamespace(model, 2),
    cacheNamespace.isolatedNamespace(model, {}),
    cacheNamespace.isolatedNamespace(model, { unknownCaller: '0.5/2' }),
    ...names.map((team) => cacheNamespace.isolatedNamespace(model, { team })),
  ]);
  assert.is(new Set(texts).size, names.length * (names.length + 4));
  const servers = [...names.map((id) => ({ id })), { id: 'a', weightsVersion: '2' }];
  const salts = texts.flatMap((text) =>
    servers.map((server) => cacheNamespace.cacheSalt(text, server)),
  );
  assert.is(new Set(salts).size, texts.length * servers.length);
  salts.forEach((salt) => assert.match(salt, /^[!-~]+$/));
  assert.is(cacheNamespace.sharedNamespace('desk', undefined), 'desk');
});

// Guards against routers that share parts by another state than the replicas, and against messages that grow with all teams.
suite('the copy for other daemons tells the time of the new start and no names', () => {
  const first = { version: 1, text: 'one', teams: { isolated: [], sharing: TEAMS } };
  const second = { version: 2, text: 'two', teams: { isolated: ['depot'], sharing: ['market'] } };
  const store = new registerStore.RegisterStore(new clock.ManualClock());
  store.applyIfNewer([first, second].reduce(control.putRouting, control.EMPTY_REGISTER));
  assert.equal(store.encode().routing, { version: 2, text: 'two' });
  assert.equal(store.encode().cacheSharing, { since: 2 });
  assert.is(control.decodeRegister(store.encode()).cacheSharing?.since, 2);
});

suite.run();
