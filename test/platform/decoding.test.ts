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
