import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as metrics from '../../src/metrics';

const suite = uvu.suite('Prometheus metrics');

suite('counters and histograms are rendered with their tags', async () => {
  const meter = new metrics.PrometheusMetrics({ node: 'front-1' });
  meter.count(metrics.Counter.Requests, { team: 'depot', class: 'short' });
  meter.observe(metrics.Histogram.FirstToken, 120, { team: 'depot', service: undefined });
  const text = await meter.render();
  assert.match(text, /figline_requests_total{team="depot",class="short",node="front-1"} 1/);
  const buckets = text
    .split('\n')
    .filter((line) => line.includes('first_token') && /le="/.test(line));
  const countOf = (bound: string) =>
    buckets
      .find((line) => line.includes(`le="${bound}"`))
      ?.split(' ')
      .at(-1);
  assert.is(countOf('100'), '0');
  assert.is(countOf('200'), '1');
  await meter.close();
});

suite('malformed answers are counted by service, reason and verdict', async () => {
  const meter = new metrics.PrometheusMetrics({ node: 'front-1' });
  const tags = { service: 'desk', reason: 'backend_error', verdict: 'may-have-run' };
  meter.count(metrics.Counter.MalformedAnswers, tags);
  const text = await meter.render();
  assert.match(text, /figline_garbled_answers_total\{service="desk".*reason="backend_error"/);
  await meter.close();
});

suite.run();
