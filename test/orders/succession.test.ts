import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as orders from '../../src/orders';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('versions in quick succession');
const { OrderEventKind } = orders;

const SERVICE = 'desk';
const PARAMETERS = { ...orders.DEFAULT_PARAMETERS, settleMilliseconds: 0, maximumLoads: 1 };

/** State of a leader that has just read back engines with the given weights. */
function leaderOf(
  weights: Record<string, string>,
  desired: string,
  parameters: Partial<orders.OrderParameters> = {},
  desiredVersions: readonly orders.DesiredVersion[] = [],
): orders.OrderState {
  const engines = Object.entries(weights).map(([id, weightsVersion]) => ({
    id,
    service: SERVICE,
    suspected: false,
    weightsVersion,
  }));
  const events: orders.OrderEvent[] = [
    { kind: OrderEventKind.BecameLeader, at: 0, term: 2 },
    {
      kind: OrderEventKind.DesiredChanged,
      at: 0,
      services: [{ name: SERVICE, weightsVersion: desired, desiredVersions }],
    },
    { kind: OrderEventKind.ServersChanged, at: 0, engines },
    ...engines.map(({ id, weightsVersion }) => ({
      kind: orders.OrderEventKind.Observed as const,
      at: 10,
      serverId: id,
      startedAt: 5,
      incarnation: id,
      weightsVersion,
      loading: false,
    })),
  ];
  return events.reduce(
    (state, event) => orders.update(state, event).state,
    orders.initialState({ ...PARAMETERS, ...parameters }),
  );
}

function tickAt(at: number): orders.Tick {
  return { kind: OrderEventKind.Tick, at, leaseEndsAt: at + 500 };
}

function ordersOf(effects: readonly orders.OrderEffect[]): readonly orders.SendOrder[] {
  return effects.flatMap((effect) =>
    effect.kind === orders.OrderEffectKind.SendOrder ? [effect] : [],
  );
}

/** The engines to which the leader sends orders with its next tick. */
function ordered(state: orders.OrderState, at = 20): readonly string[] {
  return ordersOf(orders.update(state, tickAt(at)).effects).map(({ serverId }) => serverId);
}

/** The state after a tick that sends an order to `a`, whose call then fails without an answer. */
function unanswered(state: orders.OrderState): orders.OrderState {
  const sent = orders.update(state, tickAt(20));
  const [{ serverId, orderId }] = ordersOf(sent.effects);
  const kind = OrderEventKind.OrderFailed;
  const outcome = verdict.Verdict.MayHaveRun;
  const failed: orders.OrderEvent = { kind, at: 800, serverId, orderId, verdict: outcome };
  return orders.update(sent.state, failed).state;
}

function observed(
  state: orders.OrderState,
  serverId: string,
  startedAt: number,
  report: Pick<orders.Observed, 'weightsVersion' | 'loading' | 'acceptedOrders'>,
): orders.OrderState {
  const at = startedAt + 10;
  const kind = OrderEventKind.Observed;
  const event: orders.OrderEvent = { kind, at, startedAt, serverId, incarnation: 'i', ...report };
  return orders.update(state, event).state;
}

/**
 * Guards against engines that are left out of every roll-out: with a new version every 3 s, the first ones
 * were ordered again each time and the last one kept the first version for 8 s.
 */
suite('the engine with the oldest weights is ordered first', () => {
  assert.equal(ordered(leaderOf({ a: '9', b: '9', c: '8', d: '10' }, '11')), ['c']);
});

// Guards against a third of a small service out of service at once, and against slow roll-outs of a large one.
suite('a large service loads at more servers at the same time', () => {
  const weights = (count: number) =>
    Object.fromEntries(Array.from({ length: count }, (_, index) => [`engine-${index}`, '1']));
  const parameters = { maximumLoads: 2, loadFraction: 2 / 7 };
  assert.is(ordered(leaderOf(weights(6), '2', parameters)).length, 2);
  assert.is(ordered(leaderOf(weights(63), '2', parameters)).length, 18);
});

const DESIRED_VERSIONS: readonly orders.DesiredVersion[] = [
  { weightsVersion: '2', namedAt: -6_000 },
  { weightsVersion: '3', namedAt: -1_000 },
];

// Guards against engines that get no requests and still wait for a load slot until the time of their version ends.
suite('engines below the minimum version do not wait for a load slot', () => {
  const parameters = { maximumLoads: 1, graceMilliseconds: 6_000 };
  const state = leaderOf(
    { a: '2', b: '1', c: '2', d: '1', e: '2', f: '2', g: '2' },
    '3',
    parameters,
    DESIRED_VERSIONS,
  );
  const sent = ordersOf(orders.update(state, tickAt(20)).effects);
  assert.equal(
    sent.map(({ serverId, reason, missedVersionAgeMilliseconds }) => [
      serverId,
      reason,
      missedVersionAgeMilliseconds,
    ]),
    [
      ['b', orders.OrderReason.BelowMinimum, 6_020],
      ['d', orders.OrderReason.BelowMinimum, 6_020],
      ['a', orders.OrderReason.SlotFree, 1_020],
    ],
  );
});

// Guards against a service whose last usable engines load while the others get no requests.
suite('engines below the minimum version do not count as serving', () => {
  const parameters = { maximumLoads: 4, graceMilliseconds: 6_000 };
  const state = leaderOf({ a: '1', b: '1', c: '2', d: '2' }, '3', parameters, DESIRED_VERSIONS);
  assert.equal(ordered(state), ['a', 'b']);
});

// Guards against a daemon that leads again and orders engines which another leader has updated meanwhile.
suite('a leader does not use its observations of an earlier term', () => {
  const parameters = { maximumLoads: 4, graceMilliseconds: 6_000 };
  const before = leaderOf({ a: '1', b: '1', c: '1' }, '3', parameters, DESIRED_VERSIONS);
  const engines = ['a', 'b', 'c'].map((id) => ({
    id,
    service: SERVICE,
    suspected: false,
    weightsVersion: '2',
  }));
  const events: orders.OrderEvent[] = [
    { kind: OrderEventKind.LostLeadership, at: 12 },
    { kind: OrderEventKind.BecameLeader, at: 14, term: 4 },
    { kind: OrderEventKind.ServersChanged, at: 14, engines },
  ];
  const state = events.reduce((current, event) => orders.update(current, event).state, before);
  assert.equal(ordered(observed(state, 'b', 15, { weightsVersion: '2', loading: false }), 30), [
    'b',
  ]);
});

// Guards against one unresponsive engine that delays the roll-out at all others.
suite('an order without an answer releases its load slot once the engine reports no load', () => {
  const waiting = unanswered(leaderOf({ a: '1', b: '1', c: '1', d: '1', e: '1' }, '2'));
  const known = observed(waiting, 'b', 900, { weightsVersion: '1', loading: false });
  assert.equal(ordered(known, 950), []);
  const silent = observed(known, 'a', 900, { weightsVersion: '1' });
  assert.equal(ordered(silent, 950), []);
  const idle = observed(known, 'a', 900, { weightsVersion: '1', loading: false });
  assert.equal(ordered(idle, 950), ['b']);
  const late = observed(idle, 'a', 940, { weightsVersion: '1', loading: true });
  assert.equal(ordered(late, 950), []);
});

// Guards against an engine that gets no requests and no next version although its order was executed.
suite('an order without an answer ends once the engine has the weights', () => {
  const waiting = unanswered(leaderOf({ a: '1' }, '2'));
  const before = observed(waiting, 'a', 700, { weightsVersion: '2', loading: false });
  assert.is.not(before.engines.get('a')!.order, undefined);
  const after = observed(waiting, 'a', 900, { weightsVersion: '2', loading: false });
  assert.is(after.engines.get('a')!.order, undefined);
});

// Guards against a lost order that keeps its engine out of the roll-out for the longest order time.
suite(
  'an order without an answer is repeated if the engine carries out at most one of the two',
  () => {
    const report = { weightsVersion: '1', loading: false, acceptedOrders: 3 };
    const state = observed(leaderOf({ a: '1' }, '2'), 'a', 12, report);
    const [first] = ordersOf(orders.update(state, tickAt(20)).effects);
    assert.is(first.expectedOrders, 3);
    const waiting = unanswered(state);
    assert.equal(ordered(observed(waiting, 'a', 700, report), 720), []);
    const loading = observed(waiting, 'a', 900, { ...report, loading: true });
    assert.equal(ordered(loading, 950), []);
    const uncounted = observed(waiting, 'a', 900, { weightsVersion: '1', loading: false });
    assert.equal(ordered(uncounted, 950), []);
    const restarted = observed(waiting, 'a', 900, { ...report, acceptedOrders: 0 });
    assert.equal(ordered(restarted, 950), []);
    const [repeated] = ordersOf(
      orders.update(observed(waiting, 'a', 900, report), tickAt(950)).effects,
    );
    assert.is(repeated.expectedOrders, 3);
  },
);

// Guards against an order, and its confirmation, from a report that does not tell which weights an engine has.
suite('an engine whose report names no weights counts neither as outdated nor as switched', () => {
  const unnamed = { loading: false, acceptedOrders: 3 };
  const state = leaderOf({ a: '2', b: '2' }, '2');
  assert.equal(ordered(observed(state, 'a', 10, unnamed), 30), []);
  const waiting = unanswered(leaderOf({ a: '1', b: '2' }, '2'));
  const readBack = observed(waiting, 'a', 900, unnamed);
  assert.is(readBack.engines.get('a')!.order?.weightsVersion, '2');
  const unlisted = orders.update(observed(state, 'b', 10, unnamed), {
    kind: OrderEventKind.ServersChanged,
    at: 20,
    engines: [{ id: 'b', service: SERVICE, suspected: false }],
  }).state;
  assert.equal(ordered(unlisted, 30), []);
  assert.equal(
    orders.progress(unlisted).map(({ switched }) => switched),
    [0],
  );
});

// Guards against a leader that throws, and ends with it, when a document drops a service during a roll-out.
suite('engines of a service without a desired version get no orders', () => {
  const kind = OrderEventKind.DesiredChanged;
  const state = leaderOf({ a: '1', b: '1' }, '2');
  const dropped = orders.update(state, { kind, at: 20, services: [] }).state;
  assert.equal(ordered(dropped, 30), []);
});

// Guards against free load slots that stay unused because all read-backs go to engines that load.
suite('engines that may be ordered next are read back while many load', () => {
  const weights = Object.fromEntries(
    Array.from({ length: 63 }, (_, index) => [`engine-${index}`, '1']),
  );
  let state = leaderOf(weights, '2', { maximumLoads: 18 });
  const first = orders.update(state, tickAt(20));
  assert.is(ordersOf(first.effects).length, 18);
  state = first.state;
  const [{ serverId, orderId }] = ordersOf(first.effects);
  const kind = OrderEventKind.OrderAccepted;
  const accepted: orders.OrderEvent = { kind, at: 40, serverId, orderId };
  state = orders.update(state, accepted).state;
  state = observed(state, serverId, 1_050, { weightsVersion: '2', loading: false });
  const readBacks = orders
    .update(state, tickAt(1_100))
    .effects.flatMap((effect) =>
      effect.kind === orders.OrderEffectKind.ReadBack ? [effect.serverId] : [],
    );
  assert.ok(readBacks.some((id) => state.engines.get(id)!.order === undefined));
});

suite.run();
