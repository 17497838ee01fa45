import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as builder from './builder';

const suite = uvu.suite('streams beside long prompts');
const { Dispatch } = decision.DecisionEffectKind;

const SHORT = { promptTokens: 800, expectedOutputTokens: 70, longestPauseMilliseconds: 250 };
const LONG = { promptTokens: 9_000, expectedOutputTokens: 13, longestPauseMilliseconds: 250 };

function serversOf(
  desk: builder.Desk,
  name: string,
  count: number,
  changes: Partial<decision.RequestProfile>,
): ReadonlySet<string> {
  for (let index = 0; index < count; index += 1) {
    desk.arrive(`${name}-${index}`, changes);
  }
  return new Set(desk.take(Dispatch).map(({ serverId }) => serverId));
}

// Guards against streams that pause for longer than their callers accept while prompts are read beside them.
suite('short streams and long prompts go to different servers', () => {
  const desk = builder.desk(6, 96);
  serversOf(desk, 'warm', 8, SHORT);
  serversOf(desk, 'cold', 8, LONG);
  const short = serversOf(desk, 'short', 6, SHORT);
  const long = serversOf(desk, 'long', 4, LONG);
  assert.equal(
    [...short].filter((serverId) => long.has(serverId)),
    [],
  );
});

// Guards against a split of services whose callers only wait for the whole answer.
suite('requests without a limit on pauses use all servers', () => {
  const desk = builder.desk(3, 96);
  const free = { longestPauseMilliseconds: undefined };
  serversOf(desk, 'warm', 3, { ...SHORT, ...free });
  assert.is(serversOf(desk, 'long', 6, { ...LONG, ...free }).size, 3);
});

suite.run();
