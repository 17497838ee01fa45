import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as routingDocument from '../../platform/routing-document';
import * as settings from '../../platform/settings';
import * as verdict from '../../src/verdict';
import * as builder from './gateway-builder';

const suite = uvu.suite('decoding of the platform');
const headerCodec = new platformHeaderCodec.PlatformHeaderCodec();

const SETTINGS = `
node: "front-1"
ip: "10.1.0.23"
zone: "pl-caudan"
region: "port-louis"
zones: { pl-caudan: "port-louis" }
listen: { front: "10.1.0.23:8782", ready: "10.1.0.23:8789" }
internal_ports: [7340, 7355]
seeds: ["10.1.0.26:8783"]
bootstrap: true
data_dir: null
cloud_api: { addr: "10.200.0.117:8784", rate_per_s: 44.0 }
a_field_of_tomorrow: 7
`;

suite('settings are decoded; unknown fields are ignored and missing bounds have defaults', () => {
  const decoded = settings.decodeSettings(SETTINGS).unwrap();
  assert.equal(decoded.listen.front, { host: '10.1.0.23', port: 8_782 });
  assert.is(decoded.data_dir, null);
  assert.is(decoded.bounds.grace_s, 8);
});

// Guards against a region that is no text, with which no daemon can send or read the list of VMs.
suite('only the zones of the settings have regions', () => {
  const { zones } = settings.decodeSettings(SETTINGS).unwrap();
  assert.is(zones['pl-caudan'], 'port-louis');
  ['constructor', '__proto__', 'toString', 'elsewhere'].forEach((zone) =>
    assert.is(zones[zone], undefined),
  );
});

suite('all errors of the settings are reported together', () => {
  const wrong = SETTINGS.replace('"10.1.0.26:8783"', '"seed-1"').replace('node: "front-1"', '');
  const faults = settings.decodeSettings(wrong);
  assert.ok(faults.err);
  assert.match(String(faults.val), /node: .*seeds\.0: use an IP address and a port/s);
});

// Guards against a document that is acknowledged although it cannot be used.
suite('unusable documents are refused', () => {
  const valid = builder.document() as { routes: object[] };
  assert.ok(routingDocument.decodeRouting(JSON.stringify(valid)).ok);
  const text = JSON.stringify(valid);
  const [route] = valid.routes;
  const wrong = [
    text.slice(0, -20),
    '[]',
    '{"version":"7","routes":[],"services":[]}',
    JSON.stringify({ ...valid, routes: [route, route] }),
    JSON.stringify({ ...valid, routes: [{ ...route, service: 'nowhere' }] }),
    JSON.stringify({ ...valid, routes: [{ ...route, timeout_ms: 0 }] }),
    JSON.stringify({ ...valid, routes: [{ ...route, path_prefix: '/open' }] }),
  ];
  wrong.forEach((document) => assert.ok(routingDocument.decodeRouting(document).err, document));
});

const NESTED = '['.repeat(1_000_000) + ']'.repeat(1_000_000);

// Guards against a document of another program that ends the process that reads it.
suite('documents with huge numbers or deep nesting are refused or taken, but never throw', () => {
  const text = JSON.stringify(builder.document());
  const wrong = [
    text.replace(/"version":\d+/, '"version":1e400'),
    text.replace(/"version":\d+/, '"version":9007199254740993'),
    text.replace(/"timeout_ms":\d+/, '"timeout_ms":1e400'),
    text.replace(/"version":\d+/, `"version":${NESTED}`),
    text.replace('"routes":[', `"routes":[${NESTED},`),
    NESTED,
    '['.repeat(2_000_000),
  ];
  wrong.forEach((document) => assert.ok(routingDocument.decodeRouting(document).err));
  const unread = `{"unread":${NESTED},${text.slice(1)}`;
  assert.ok(routingDocument.decodeRouting(unread).ok);
});

// Guards against a document whose errors alone take gigabytes of memory and seconds of time.
suite('the errors of a document with very many wrong parts are few', () => {
  const many = Array.from({ length: 400_000 }, () => 0);
  const valid = builder.document() as { routes: object[]; services: object[] };
  const wrong = [
    { ...valid, routes: many },
    { ...valid, services: many },
    { ...valid, tenants: many },
    { ...valid, tenants: [{ name: 't', api_keys: many }] },
    { ...valid, routes: [{ ...valid.routes[0], traffic_split: many }] },
    { ...valid, services: [{ ...valid.services[0], engine: { models: many } }] },
  ].map((document) => JSON.stringify(document));
  wrong.forEach((document) => {
    const before = process.memoryUsage().heapTotal;
    const decoded = routingDocument.decodeRouting(document);
    assert.ok(decoded.err);
    const { length } = decoded.val as readonly string[];
    assert.ok(length > 0 && length <= 100, `${length} errors`);
    const grown = process.memoryUsage().heapTotal - before;
    assert.ok(grown < 64 * 1_024 * 1_024, `${grown} bytes`);
  });
});

suite('malformed headers of callers are ignored', () => {
  const metadata = headerCodec.readCaller({
    'x-figline-prompt-prefix': '5c1e:800, 91bd:410,broken,zz:1,e440:',
    'x-figline-token-counts': '1460,80',
    'x-figline-deadline-ms': 'soon',
    authorization: 'token  key ',
  });
  assert.equal(metadata.parts, [
    { id: '5c1e', tokens: 800 },
    { id: '91bd', tokens: 410 },
  ]);
  assert.is(metadata.promptTokens, 1_460);
  assert.is(metadata.waitMilliseconds, undefined);
  assert.is(metadata.credential, 'key');
  assert.is(headerCodec.readCaller({ authorization: 'Bearer key' }).credential, undefined);
});

// Guards against figures that count as others because one before them cannot be read.
suite('an unreadable figure in a header does not shift the others', () => {
  const tokens = (counts: string) => {
    const { promptTokens, outputTokens } = headerCodec.readCaller({
      'x-figline-token-counts': counts,
    });
    return [promptTokens, outputTokens];
  };
  assert.equal(tokens('many,80'), [0, 80]);
  assert.equal(tokens(',80'), [0, 80]);
  const loadIn = (value: string) =>
    headerCodec.readAnswer({ status: 200, headers: { 'x-figline-server-load': value } }).load;
  assert.is(loadIn('3,,8,250'), undefined);
  assert.is(loadIn('x,3,1,8'), undefined);
  assert.equal(loadIn('3,1,8,'), { running: 3, waiting: 1, slots: 8, slowness: 1 });
});

// Guards against a failure that is treated as a refusal, which would guarantee that the request did not run.
suite('only an explicit refusal counts as not run', () => {
  const refusal = (status: number, headers = {}) =>
    headerCodec.readAnswer({ status, headers }).refusal;
  assert.is(refusal(503), undefined);
  assert.is(refusal(500, { 'x-figline-response-seal': 's' }), undefined);
  assert.is(refusal(503, { 'x-figline-not-executed': '1' }), verdict.FailureReason.BackendRefused);
  assert.is(refusal(421), verdict.FailureReason.BackendRefused);
  const { load } = headerCodec.readAnswer({
    status: 200,
    headers: { 'x-figline-server-load': '3,1,8,250' },
  });
  assert.equal(load, { running: 3, waiting: 1, slots: 8, slowness: 2.5 });
});

// Guards against servers in need whose limits nobody reads.
suite('limits that servers name are read from any answer', () => {
  const limits = (headers: Record<string, string>) =>
    headerCodec.readAnswer({ status: 503, headers }).limits;
  assert.is(limits({ 'server-brittle': '6' }).refusalsPerSecond, 6);
  assert.is(limits({ 'server-limit': '1.2' }).requestsPerSecond, 1.2);
  assert.is(limits({ 'server-brittle': 'much' }).refusalsPerSecond, undefined);
});

suite('an answer with an encoded body is not genuine', () => {
  const headers = { 'x-figline-response-seal': 's', 'content-encoding': 'gzip' };
  assert.is(headerCodec.readAnswer({ status: 200, headers }).isGenuine, false);
});

suite.run();
