import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as orders from '../../src/orders';
import * as capturedLog from '../support/captured-log';
import * as routingBuilder from '../support/routing-builder';

const suite = uvu.suite('log of orders');

const SERVICE = { ...routingBuilder.MODEL_SERVICE, weightsVersion: '3' };

const ENGINE = {
  id: 'engine',
  host: '127.0.0.1',
  port: 1,
  zone: 'pl-caudan',
  region: 'port-louis',
  service: SERVICE.name,
  kind: backend.BackendKind.ModelEngine,
  phase: backend.MachinePhase.Live,
  suspected: false,
  weightsVersion: '1',
};

// Guards against a slow roll-out whose log does not show how late an order was sent, and why not earlier.
suite('an order is logged with the age of the desired version and its reason', async () => {
  const time = new clock.ManualClock();
  const status = {
    role: control.ReplicaRole.Leader,
    term: 1,
    leaseRemainingMilliseconds: 400,
  } as control.ControlStatus;
  const documents = new Map([[`service/${SERVICE.name}`, SERVICE]]);
  const report = { incarnation: 'i', weightsVersion: '1', leaving: false, loading: false };
  const client = {
    order: async () => new results.Ok(backend.OrderOutcome.Accepted),
    probe: async () => new results.Ok(report),
  };
  const task = new orders.OrderTask(
    {
      plane: {
        leadership: () => status,
        configuration: () => ({ revision: 1, documents }),
        propose: async () => new results.Ok({ kind: control.CommandResultKind.Done } as const),
        orderHistory: () => ({ knownSince: time.monotonic(), orders: [] }),
      },
      time,
      engine: () => ({ client, release: () => {} }),
      servers: () => [ENGINE],
      desiredVersions: () => [
        { weightsVersion: '2', ageMilliseconds: time.monotonic() + 5_000 },
        { weightsVersion: '3', ageMilliseconds: time.monotonic() + 600 },
      ],
      onReadBack: () => {},
    },
    { ...orders.DEFAULT_PARAMETERS, settleMilliseconds: 950, graceMilliseconds: 6_000 },
  );
  const lines = await capturedLog.linesOf('order sent', async () => {
    task.start();
    for (let step = 0; step < 24; step += 1) {
      time.advance(50);
      await new Promise(setImmediate);
    }
  });
  task.close();
  assert.is(lines.length, 1);
  const { backendServer, weightsVersion, reason, namingAgeMilliseconds } = lines[0];
  assert.equal(
    { backendServer, weightsVersion, reason, namingAgeMilliseconds },
    {
      backendServer: 'engine',
      weightsVersion: '3',
      reason: 'below the minimum version',
      namingAgeMilliseconds: 6_000,
    },
  );
});

/** Guards against a roll-out that a slow disk stops, and against an order of a daemon that leads no more. */
[
  {
    title: 'an order that was recorded after its lease is sent by a leader with a later lease',
    leads: true,
  },
  {
    title: 'an order that was recorded after its lease is not sent by a former leader',
    leads: false,
  },
].forEach(({ title, leads }) =>
  suite(title, async () => {
    const time = new clock.ManualClock();
    const status = {
      role: control.ReplicaRole.Leader,
      term: 1,
      leaseRemainingMilliseconds: 400,
    } as control.ControlStatus;
    const documents = new Map([[`service/${SERVICE.name}`, SERVICE]]);
    const report = { incarnation: 'i', weightsVersion: '1', leaving: false, loading: false };
    let sent = 0;
    const pending: (() => void)[] = [];
    const done = new results.Ok({ kind: control.CommandResultKind.Done } as const);
    const task = new orders.OrderTask(
      {
        plane: {
          leadership: () => status,
          configuration: () => ({ revision: 1, documents }),
          propose: ({ kind }) =>
            kind === control.CommandKind.RecordOrders
              ? new Promise((resolve) => {
                  pending.push(() => resolve(done));
                })
              : Promise.resolve(done),
          orderHistory: () => ({ knownSince: -Infinity, orders: [] }),
        },
        time,
        engine: () => ({
          client: {
            order: async () => {
              sent += 1;
              return new results.Ok(backend.OrderOutcome.Accepted);
            },
            probe: async () => new results.Ok(report),
          },
          release: () => {},
        }),
        servers: () => [ENGINE],
        onReadBack: () => {},
      },
      { ...orders.DEFAULT_PARAMETERS, settleMilliseconds: 950 },
    );
    const advance = async (milliseconds: number) => {
      for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
        time.advance(50);
        await new Promise(setImmediate);
      }
    };
    task.start();
    await advance(500);
    assert.is(pending.length, 1);
    if (!leads) {
      Object.assign(status, { role: control.ReplicaRole.Follower, leaseRemainingMilliseconds: 0 });
    }
    await advance(600);
    pending[0]();
    await advance(100);
    task.close();
    assert.is(sent, leads ? 1 : 0);
  }),
);

// Guards against an engine that gets no orders any more after a call to it has thrown.
suite('orders and read-backs that throw release the engine and are repeated', async () => {
  const time = new clock.ManualClock();
  const status = {
    role: control.ReplicaRole.Leader,
    term: 1,
    leaseRemainingMilliseconds: 400,
  } as control.ControlStatus;
  const documents = new Map([[`service/${SERVICE.name}`, SERVICE]]);
  let [orderCalls, probeCalls, leases] = [0, 0, 0];
  let loaded = '1';
  const task = new orders.OrderTask(
    {
      plane: {
        leadership: () => status,
        configuration: () => ({ revision: 1, documents }),
        propose: async () => new results.Ok({ kind: control.CommandResultKind.Done } as const),
        orderHistory: () => ({ knownSince: -Infinity, orders: [] }),
      },
      time,
      engine: () => {
        leases += 1;
        return {
          client: {
            order: async ({ value }) => {
              orderCalls += 1;
              if (orderCalls === 1) {
                throw new TypeError('Invalid URL');
              }
              loaded = value;
              return new results.Ok(backend.OrderOutcome.Accepted);
            },
            probe: async () => {
              probeCalls += 1;
              if (probeCalls % 2 === 1) {
                throw new TypeError('Invalid URL');
              }
              const [incarnation, weightsVersion] = ['i', loaded];
              return new results.Ok({
                incarnation,
                weightsVersion,
                leaving: false,
                loading: false,
              });
            },
          },
          release: () => {
            leases -= 1;
          },
        };
      },
      servers: () => [ENGINE],
      onReadBack: () => {},
    },
    { ...orders.DEFAULT_PARAMETERS, settleMilliseconds: 950 },
  );
  task.start();
  for (let step = 0; step < 1_200 && loaded !== '3'; step += 1) {
    time.advance(50);
    await new Promise(setImmediate);
  }
  task.close();
  await new Promise(setImmediate);
  assert.is(loaded, '3');
  assert.ok(orderCalls >= 2 && probeCalls >= 2, `${orderCalls} orders, ${probeCalls} probes`);
  assert.is(leases, 0);
});

suite.run();
