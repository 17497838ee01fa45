import * as assert from 'uvu/assert';
import { test } from 'uvu';
import * as clock from '../../src/clock';
import * as load from '../../src/load';

const plan = { ratePerSecond: 100, durationMilliseconds: 60_000, maximumRequests: 100_000 };

// Guards against a load loop that never ends and against a wrong rate.
test('arrivals have the planned rate and respect both limits', () => {
  const times = load.planArrivals(plan, new clock.SeededRandomSource(1));
  assert.ok(Math.abs(times.length - 6_000) < 300, String(times.length));
  assert.ok(times.every((at, index) => at < 60_000 && at >= (times[index - 1] ?? 0)));
  const few = load.planArrivals({ ...plan, maximumRequests: 7 }, new clock.SeededRandomSource(1));
  assert.equal(few, times.slice(0, 7));
});

// Guards against prompts that share too little, with which a measurement would miss the cache.
test('prompts share their nested prefixes', () => {
  const options = {
    model: 'inspection',
    outputTokens: 4,
    plainShare: 0,
    plainPath: '/',
    preambleTokens: 100,
    rulesTokens: 50,
    historyTokens: 25,
    tenants: 1,
    historiesPerTenant: 1,
  };
  const mix = new load.RequestMix(options, new clock.SeededRandomSource(1));
  const contents = [mix.next(), mix.next()].map((request) =>
    JSON.parse(request.body).messages.map((message: { content: string }) => message.content),
  );
  assert.equal(contents[0].slice(0, 3), contents[1].slice(0, 3));
  assert.is.not(contents[0][3], contents[1][3]);
  assert.equal(contents[0].map((text: string) => text.length).slice(0, 3), [400, 200, 100]);
});

// Guards against counting events without a token, and against missing an end marker that spans two chunks.
test('a stream that is split at any byte has the same counts', () => {
  const text =
    'event: head\ndata: {"cachedTokens":1}\n\n: idle\n\nid: 0\ndata: {"delta":{"content":"a"}}\n\n' +
    'data: {"delta":{"content":"b"}}\n\ndata: {"delta":{},"finish_reason":"stop"}\n\ndata: [DONE]\n\n';
  for (let cut = 0; cut <= text.length; cut += 1) {
    const parser = new load.StreamParser();
    const parts = [parser.push(text.slice(0, cut)), parser.push(text.slice(cut))];
    assert.is(parts[0].tokens + parts[1].tokens, 2);
    assert.ok(parts[0].ended || parts[1].ended);
  }
  const failed = new load.StreamParser().push('event: error\ndata: {"error":{"code":"x"}}\n\n');
  assert.ok(failed.failed && !failed.ended);
});

// Guards against confusing microseconds and milliseconds.
test('distributions are in milliseconds', () => {
  const recorder = new load.LoadRecorder();
  [1, 2, 3, 4, 100].forEach((value) => load.record(recorder.total, value));
  const { p50, maximum, count } = load.distribution(recorder.total);
  assert.is(count, 5);
  assert.ok(Math.abs(p50 - 3) < 0.01 && Math.abs(maximum - 100) < 0.1);
});

test.run();
