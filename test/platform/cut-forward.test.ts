import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as cutCases from './cut-cases';
import * as rawServer from './raw-server';

const suite = uvu.suite('forwarded answers that break off');

/** Answers as another gateway does, with the id of the forwarded request. */
function asGateway(answer: rawServer.RawAnswer): rawServer.RawAnswer {
  return (request) => {
    const [, forwardId] = /^figline-forward: (\S+)/im.exec(request.head)!;
    const given = answer(request);
    const { bytes, then } = typeof given === 'string' ? { bytes: given, then: undefined } : given;
    const echoed = bytes.replaceAll(FORWARD_PLACE, forwardId);
    return then === undefined ? echoed : { bytes: echoed, then };
  };
}

/** Stands for the id of a forwarded request, which only the request names. */
const FORWARD_PLACE = '(id)';

function forwardedHead(id: string, framing: cutCases.Framing, kind: cutCases.Kind): string {
  const head = cutCases.headOf(id, framing, kind);
  return head.replace(
    'X-Figline-Request-Id',
    `Figline-Forward: ${FORWARD_PLACE}\r\nX-Figline-Request-Id`,
  );
}

/** Runs the cases through a gateway that reaches no server and forwards them to scripted gateways. */
async function forwardCases(cases: readonly cutCases.Case[]): Promise<readonly cutCases.Result[]> {
  const answers = new cutCases.CaseAnswers(cases, () => ({ bytes: '', then: 'end' }));
  const answer = asGateway(answers.answer);
  const peers = ['gateway-2', 'gateway-3'].map((id) => new rawServer.RawServer(id, answer));
  await Promise.all(peers.map((peer) => peer.listen()));
  const gateway = cutCases.buildGateway(UNREACHABLE, { forwardListen: FORWARD_LISTEN });
  let results: readonly cutCases.Result[] = [];
  try {
    await gateway.run(async () => {
      const near = peers.map(({ id: daemonId, port }) => {
        const address = `127.0.0.1:${port}`;
        return { daemonId, address, zone: 'pl-caudan', region: 'port-louis' };
      });
      gateway.plane.deliver(control.PeerTopic.Gateways, { near });
      await gateway.send('GET', '/balance/0', { 'x-figline-request-id': 'notice' });
      results = await answers.sendAll(gateway);
    });
  } finally {
    await Promise.all(peers.map((peer) => peer.close()));
  }
  return results;
}

const FORWARD_LISTEN = { host: '127.0.0.1', port: 0 };

/** Servers that refuse all connections. */
const UNREACHABLE = ['i-1', 'i-2', 'i-3', 'i-4'].map((id) => ({
  id,
  port: 1,
  listen: async () => {},
  close: async () => {},
}));

// Guards against a forwarded answer that broke off between two gateways and looks whole.
[cutCases.Framing.Length, cutCases.Framing.Chunks, cutCases.Framing.Close].forEach((framing) => {
  suite(`no cut of a forwarded answer with ${framing} is a success`, async () => {
    const lists = cutCases.KINDS.flatMap((kind) =>
      cutCases.ENDINGS.flatMap((ending) => {
        const bytesOf = (id: string) =>
          forwardedHead(id, framing, kind) + cutCases.framedBody(framing, kind);
        const { length } = bytesOf(cutCases.ID_PATTERN);
        const places = cutCases.everyNth(cutCases.range(0, length), 2);
        // Gateways send a length or chunks, so that even all bytes of an answer without both are not whole.
        const unframed = framing === cutCases.Framing.Close ? [length] : [];
        const later = (id: string): rawServer.RawAnswer[] => [
          () => forwardedHead(id, cutCases.Framing.Length, kind) + cutCases.bodyOf(kind),
        ];
        const cuts = {
          name: `${framing}, forwarded`,
          kind,
          ending,
          places: [...places, ...unframed],
          bytesOf,
        };
        return cutCases.cutCases(cutCases.isRepeated(kind) ? { ...cuts, later } : cuts);
      }),
    );
    const results = await forwardCases(lists);
    results.forEach((result) => {
      const { given, answer, attempts } = result;
      cutCases.check(
        result,
        (text) => cutCases.isRepeated(given.kind) && text === cutCases.bodyOf(given.kind),
      );
      assert.is(attempts.length, cutCases.isRepeated(given.kind) ? 2 : 1, given.name);
      const isWhole = answer?.status === 200 && answer.isComplete;
      assert.is(isWhole, cutCases.isRepeated(given.kind), given.name);
    });
  });
});

suite.run();
