import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as builder from './builder';

const suite = uvu.suite('collect');

function problemsOf(files: Record<string, string>): string[] {
  return builder.collect(files).problems.map(configuration.formatProblem);
}

suite('documents of all files are found, also several in one file', () => {
  const { files, documents, problems } = builder.collect({
    'desk/figline.yaml': builder.VALID_TEXT,
    'a/b/late.figline.yaml': '# comment\nkind: intent\nname: late\nservice: inspection-desk\n---\n',
    'node_modules/x/figline.yaml': 'kind: nothing',
    '.git/figline.yaml': 'kind: nothing',
    'other.yaml': 'kind: nothing',
  });
  assert.equal(problems, []);
  assert.equal(files, ['a/b/late.figline.yaml', 'desk/figline.yaml']);
  assert.is(documents.length, 5);
});

suite(
  'every problem of every file is in one report, each with its position and a correction',
  () => {
    const found = problemsOf({
      'a.figline.yaml':
        'kind: service\nname: desk\ntype: model-engine\nmodle: reader\nweightsVersion: 7\n',
      'b.figline.yaml':
        'kind: team\nname: Roasters\ncredentialHashes: [abc]\nservices: [desk, lodger]\n---\n' +
        'kind: tema\n---\nkind: service\nname: ledger\ntype: plain\nroutes:\n' +
        '  - path: ledger\n    methods: [GET, PSOT]\n    idempotent: yes\n    key: {formt: opaque}\n',
      'c.figline.yaml': 'kind: team\n  name: x\n',
    });
    assert.equal(found, [
      'a.figline.yaml:1:1: model is missing; use text, in quotes when it looks like a number',
      'a.figline.yaml:4:1: unknown field modle; did you mean model?',
      'a.figline.yaml:5:1: weightsVersion is 7; use text, in quotes when it looks like a number',
      'b.figline.yaml:2:1: name is "Roasters"; use 1 to 63 lower-case letters, digits and hyphens',
      'b.figline.yaml:3:20: credentialHashes[0] is "abc"; use the SHA-256 of the credential in hexadecimal',
      'b.figline.yaml:6:1: kind is "tema"; did you mean team? (use one of service, team, intent)',
      'b.figline.yaml:12:5: routes[0].path is "ledger"; use an absolute path such as /ledger/charges',
      'b.figline.yaml:13:20: routes[0].methods[1] is "PSOT"; did you mean POST? (use one of GET, HEAD, POST, PUT, PATCH, DELETE)',
      'b.figline.yaml:14:5: routes[0].idempotent is "yes"; use true or false',
      'b.figline.yaml:15:11: unknown field formt; did you mean format?',
      'c.figline.yaml:1:7: not valid YAML: Nested mappings are not allowed in compact mappings',
    ]);
  },
);

suite('conflicts between files are found and name the position of the other document', () => {
  const hash = configuration.hashCredential('market-roasters-credential');
  const found = problemsOf({
    'a.figline.yaml': builder.VALID_TEXT,
    'b.figline.yaml':
      `kind: team\nname: market-roasters\ncredentialHashes: [${hash}]\n` +
      'services: [sack-ledgr, inspection-desk, inspection-desk]\n---\n' +
      'kind: intent\nname: charge\nservice: sack-ledger\n---\n' +
      'kind: service\nname: second-ledger\ntype: plain\nroutes:\n' +
      '  - {path: /ledger/charges/, methods: [PUT, POST], idempotent: false}\n' +
      '  - {path: /ledger/../x, methods: [PUT], idempotent: false}\n' +
      '  - {path: /v1/completions, methods: [PUT], idempotent: false}\n',
  });
  assert.equal(found, [
    'b.figline.yaml:2:1: duplicate name: there is another team market-roasters (the other is team market-roasters at a.figline.yaml:23)',
    'b.figline.yaml:3:20: this credential hash is listed more than once; give each team its own credential (the other is team market-roasters at a.figline.yaml:23)',
    'b.figline.yaml:4:12: unknown service sack-ledgr; did you mean sack-ledger?',
    'b.figline.yaml:4:41: service inspection-desk is listed twice; list it once',
    'b.figline.yaml:8:1: sack-ledger is a plain service and takes no intents; use a model-engine service (known: inspection-desk)',
    'b.figline.yaml:14:45: overlapping routes: POST /ledger/charges/ already belongs to a route (the other is service sack-ledger at a.figline.yaml:8)',
    'b.figline.yaml:15:6: path /ledger/../x has an empty or dot segment; write the plain path',
    'b.figline.yaml:16:6: path /v1/completions begins with /v1, which figline answers itself; use another path',
  ]);
});

suite(
  'a folder without configuration files is rejected, because it would remove everything',
  () => {
    assert.match(problemsOf({ 'readme.txt': '' })[0], 'no figline.yaml or *.figline.yaml');
  },
);

suite('a file with a wrong extension is reported instead of ignored', () => {
  const found = problemsOf({ 'figline.yaml': builder.VALID_TEXT, 'b/x.figline.yml': '' });
  assert.equal(found, [
    'b/x.figline.yml:1:1: this file would be ignored; give its name the ending .yaml',
  ]);
});

suite('a pasted credential is not printed in full', () => {
  const credential = 'flg-0123456789abcdefghijklmnopqrstuvwxyz0123';
  const [found] = problemsOf({
    'figline.yaml': `kind: team\nname: x\ncredentialHashes: [${credential}]\nservices: [y]\n`,
  });
  assert.match(found, 'use the SHA-256 of the credential');
  assert.not.match(found, 'uvwxyz0123');
});

suite('aliases that expand without limit are rejected', () => {
  const levels = Array.from({ length: 9 }, (_, level) => {
    const source = level === 0 ? 'x' : `*a${level - 1}`;
    return `a${level}: &a${level} [${Array(9).fill(source).join(', ')}]`;
  });
  const [found] = problemsOf({ 'figline.yaml': `kind: team\n${levels.join('\n')}\n` });
  assert.match(found, 'not valid YAML');
});

suite.run();
