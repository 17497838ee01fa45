import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as loadTable from '../../src/gateway/load-table';

const suite = uvu.suite('load table');

const SERVERS = ['i-1', 'i-2', 'i-3'];

const loads = fastCheck.uniqueArray(
  fastCheck.record({
    serverId: fastCheck.constantFrom(...SERVERS),
    requests: fastCheck.integer({ min: 1, max: 500 }),
    prefillTokens: fastCheck.integer({ min: 0, max: 300_000 }),
    memoryTokens: fastCheck.integer({ min: 0, max: 300_000 }),
  }),
  { selector: ({ serverId }) => serverId },
);

/** Guards against loads that reach another server, and against loads that look smaller than they are. */
suite('decoded loads are those of the same server, rounded up to eight tokens', () =>
  fastCheck.assert(
    fastCheck.property(loads, (given) => {
      const byServer = new Map(given.map((load) => [load.serverId, load]));
      const decoded = loadTable.decodeLoads(SERVERS, loadTable.encodeLoads(SERVERS, byServer))!;
      assert.is(decoded.length, given.length);
      decoded.forEach((load) => {
        const expected = byServer.get(load.serverId)!;
        assert.is(load.requests, expected.requests);
        assert.ok(load.prefillTokens >= expected.prefillTokens);
        assert.ok(load.prefillTokens < expected.prefillTokens + 8);
        assert.ok(load.memoryTokens >= expected.memoryTokens);
      });
    }),
    { seed: 20_261_204, numRuns: 200 },
  ),
);

/** Guards against rows that are read with a list of other servers. */
suite('a table that does not fit the list of servers is refused', () => {
  const table = loadTable.encodeLoads(SERVERS, new Map());
  assert.is(loadTable.decodeLoads(SERVERS.slice(1), table), undefined);
  const placed = loadTable.encodePlacements(SERVERS, [{ serverId: 'i-3', hashes: [7] }]);
  assert.is(loadTable.decodePlacements(SERVERS.slice(0, 2), placed), undefined);
  assert.is(loadTable.decodePlacements(SERVERS, placed.subarray(1)), undefined);
  assert.is(loadTable.decodeDemand(new Uint8Array(9)), undefined);
});

suite('placements and demand are the same after encoding and decoding', () => {
  const placements = [
    { serverId: 'i-2', hashes: [7, 4_294_967_295] },
    { serverId: 'i-3', hashes: [1] },
  ];
  const encoded = loadTable.encodePlacements(SERVERS, [
    ...placements,
    { serverId: 'unknown', hashes: [2] },
  ]);
  assert.equal(loadTable.decodePlacements(SERVERS, encoded), placements);
  const keys = [{ hash: 4_294_967_295, milliseconds: 81_000, requests: 12.5 }];
  assert.equal(loadTable.decodeDemand(loadTable.encodeDemand(keys)), keys);
});

suite.run();
