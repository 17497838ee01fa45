import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as builder from './builder';

const suite = uvu.suite('snapshot');
const { documents } = builder.collect({ 'figline.yaml': builder.VALID_TEXT });
const snapshot = builder.snapshotOf(documents);
const lookup = configuration.lookupOf(snapshot);

function routePath(method: string, path: string): string | undefined {
  return lookup.routeFor(method, path)?.route.path;
}

suite('the order of documents, fields and list entries does not change the content hash', () => {
  const reversed = documents
    .map((entry) => Object.fromEntries(Object.entries(entry).reverse()))
    .map((entry) =>
      entry.kind === 'team' ? { ...entry, services: [...entry.services].reverse() } : entry,
    )
    .reverse() as configuration.ConfigurationDocument[];
  assert.is(configuration.contentHash(reversed), configuration.contentHash(documents));
  assert.ok(configuration.isEmpty(configuration.diff(snapshot, reversed)));
  const changed = documents.map((entry) =>
    entry.kind === 'team' ? { ...entry, share: 2 } : entry,
  );
  assert.is.not(configuration.contentHash(changed), configuration.contentHash(documents));
});

suite('applying a difference to its snapshot gives exactly the target documents', () => {
  const intents = documents.filter((entry) => entry.kind === configuration.DocumentKind.Intent);
  const [intent] = intents as configuration.IntentDocument[];
  const arbitrary = fastCheck.uniqueArray(
    fastCheck.record({
      name: fastCheck.constantFrom('a', 'b', 'c', 'd'),
      priority: fastCheck.integer({ min: 0, max: 2 }),
    }),
    { selector: (entry) => entry.name },
  );
  fastCheck.assert(
    fastCheck.property(arbitrary, arbitrary, (before, after) => {
      const active = builder.snapshotOf(before.map((entry) => ({ ...intent, ...entry })));
      const target = after.map((entry) => ({ ...intent, ...entry }));
      const difference = configuration.diff(active, target);
      const result = configuration.applyDelta(active, {
        from: 1,
        to: 2,
        upserts: configuration.upsertsOf(difference),
        removals: configuration.removalsOf(difference),
      });
      const hash = configuration.contentHash(result.documents.values());
      assert.is(hash, configuration.contentHash(target));
    }),
  );
});

suite('a difference names the fields that changed, so that an operator can review it', () => {
  const target = documents
    .filter((entry) => entry.kind !== configuration.DocumentKind.Intent)
    .map((entry) => (entry.kind === 'team' ? { ...entry, share: 3 } : entry));
  const difference = configuration.diff(snapshot, target);
  assert.equal(
    difference.changed.map((change) => [change.after.name, change.fields]),
    [['market-roasters', ['share']]],
  );
  assert.equal(configuration.removalsOf(difference), ['intent/sack-assessment']);
});

suite('a route is found by method and longest path of whole segments', () => {
  assert.is(routePath('GET', '/ledger/balances'), '/ledger');
  assert.is(routePath('POST', '/ledger/charges/17?x=/ledger'), '/ledger/charges');
  assert.is(routePath('GET', '/ledger/'), '/ledger');
  assert.is(routePath('GET', '/ledgers'), undefined);
  assert.is(routePath('POST', '/ledger'), undefined);
  assert.is(routePath('GET', '/'), undefined);
});

suite('a path that a server may normalize to a non-idempotent route has no route', () => {
  const ambiguous = ['//charges', '/./charges', '/x/../charges', '/%63harges', '/x%2f..', '/a;b'];
  ambiguous.forEach((rest) => assert.is(routePath('GET', `/ledger${rest}`), undefined, rest));
  assert.is(routePath('GET', '/ledger/caf%C3%A9'), '/ledger');
});

suite('a team is found only by the hash of its credential', () => {
  const hash = configuration.hashCredential('market-roasters-credential');
  assert.is(lookup.teamByCredentialHash(hash)?.name, 'market-roasters');
  assert.is(lookup.teamByCredentialHash('market-roasters-credential'), undefined);
  assert.is(lookup.intentByModel('sack-assessment')?.service, 'inspection-desk');
  assert.is(lookup.intentByModel('constructor'), undefined);
  assert.is(configuration.lookupOf(snapshot), lookup);
});

suite.run();
