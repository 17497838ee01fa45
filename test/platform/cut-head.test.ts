import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as cutCases from './cut-cases';

const suite = uvu.suite('answers that break off in their head');

/** All cuts of one framing, of all kinds and endings in turn. */
function allCuts(framing: cutCases.Framing): cutCases.Case[] {
  const lists = cutCases.KINDS.flatMap((kind) =>
    cutCases.ENDINGS.flatMap((ending) => {
      const bytesOf = (id: string) =>
        cutCases.headOf(id, framing, kind) + cutCases.framedBody(framing, kind);
      const cuts = { name: framing, kind, ending, bytesOf };
      // Fewer of the places where another kind or framing is handled in the same way.
      const isCommon = kind === cutCases.Kind.Stream || framing === cutCases.Framing.OldClose;
      const places = cutCases.everyNth(cutCases.placesOf(framing, kind, ending), isCommon ? 3 : 1);
      const later = (id: string) => [cutCases.wholeAnswer(id, cutCases.Framing.Length, kind)];
      const [once, always] = cutCases.isRepeated(kind)
        ? [places, cutCases.everyNth(places, 8)]
        : [[], places];
      return [
        cutCases.cutCases({ ...cuts, places: once, later }),
        cutCases.cutCases({ ...cuts, places: always }),
      ];
    }),
  );
  return cutCases
    .range(0, Math.max(...lists.map(({ length }) => length)))
    .flatMap((index) => lists.flatMap((list) => list.slice(index, index + 1)));
}

// Guards against a success that is taken from an answer whose head or framing broke off.
cutCases.FRAMINGS.forEach((framing) => {
  suite(
    `no cut of an answer with ${framing} is a success, and the next answer is whole`,
    async () => {
      const results = await cutCases.runCases(allCuts(framing));
      results.forEach((result) => {
        const { given, answer, attempts } = result;
        cutCases.check(
          result,
          (text) => given.answers.length > 1 && text === cutCases.bodyOf(given.kind),
        );
        assert.is(attempts.length, cutCases.isRepeated(given.kind) ? 2 : 1, given.name);
        const isWhole = answer?.status === 200 && answer.isComplete;
        assert.is(isWhole, given.answers.length > 1, given.name);
      });
      cutCases.KINDS.forEach((kind) => {
        const first = results
          .filter(({ given }) => given.kind === kind)
          .map(({ attempts }) => attempts[0]);
        const kept = first.filter(({ earlierOnConnection }) => earlierOnConnection > 0);
        assert.ok(kept.length > 0, `${kind}: no cut on a kept connection`);
        assert.ok(kept.length < first.length, `${kind}: no cut on a new connection`);
      });
    },
  );
});

suite.run();
