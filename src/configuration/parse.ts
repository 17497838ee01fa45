import * as yaml from 'yaml';
import * as zod from 'zod';
import * as document from './document';
import * as explain from './explain';
import * as problem from './problem';

/** A valid document and the positions of its fields. */
export interface LocatedDocument {
  readonly document: document.ConfigurationDocument;
  readonly file: string;
  /** Position of a field, or of the nearest part of the document that exists. */
  readonly locate: (path: readonly (string | number)[]) => Position;
}

/** Line and column, both counted from 1. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

/** What one file contains. */
export interface ParsedFile {
  readonly documents: readonly LocatedDocument[];
  readonly problems: readonly problem.ConfigurationProblem[];
  /** Names of services whose document has problems. */
  readonly invalidServices: readonly string[];
}

/**
 * Reads all YAML documents of one file and checks each against the schema of its kind.
 *
 * @example
 * parseFile('desk.figline.yaml', 'kind: team\nnmae: desk\n').problems[0];
 * // { file: 'desk.figline.yaml', line: 2, column: 1, message: 'unknown field nmae; did you mean name?' }
 */
export function parseFile(file: string, text: string): ParsedFile {
  const lines = new yaml.LineCounter();
  const parsed = yaml.parseAllDocuments(text, { lineCounter: lines, prettyErrors: false });
  const nodes: yaml.Document[] = Array.isArray(parsed) ? parsed : [];
  const outcomes = nodes.map((node) => parseOne(file, node, lines));
  return {
    documents: outcomes.flatMap((outcome) => outcome.documents),
    problems: outcomes.flatMap((outcome) => outcome.problems),
    invalidServices: outcomes.flatMap((outcome) => outcome.invalidServices),
  };
}

const EMPTY_FILE: ParsedFile = { documents: [], problems: [], invalidServices: [] };

function parseOne(file: string, node: yaml.Document, lines: yaml.LineCounter): ParsedFile {
  // Later syntax errors of a document are mostly consequences of its first.
  const [syntax] = [...node.errors, ...node.warnings];
  if (syntax !== undefined) {
    const message = `not valid YAML: ${syntax.message}`;
    return { ...EMPTY_FILE, problems: [{ file, ...toPosition(syntax.pos[0], lines), message }] };
  }
  const locate = (path: readonly (string | number)[]) => locateField(node, path, lines);
  let value: unknown;
  try {
    value = node.toJS({ maxAliasCount: MAXIMUM_ALIASES });
  } catch (error) {
    const message = `not valid YAML: ${(error as Error).message}`;
    return { ...EMPTY_FILE, problems: [{ file, ...locate([]), message }] };
  }
  // The document contains only comments, for example after a final `---`.
  return value === null || value === undefined ? EMPTY_FILE : validate(file, value, locate);
}

function validate(file: string, value: unknown, locate: LocatedDocument['locate']): ParsedFile {
  const choice = explain.chooseSchema(value);
  if (choice.err) {
    const { path, message } = choice.val;
    return {
      ...EMPTY_FILE,
      problems: [{ file, ...locate(path), message }],
      invalidServices: serviceNames(value),
    };
  }
  const schema: zod.ZodType = choice.val;
  const outcome = schema.safeParse(value);
  if (outcome.success) {
    const entry = outcome.data as document.ConfigurationDocument;
    return { ...EMPTY_FILE, documents: [{ document: entry, file, locate }] };
  }
  const problems = outcome.error.issues
    .flatMap((issue) => explain.explainIssue(issue, schema, value))
    .map(({ path, message }) => ({ file, ...locate(path), message }));
  return { ...EMPTY_FILE, problems, invalidServices: serviceNames(value) };
}

/** The name of an invalid service document, if it has one. */
function serviceNames(value: unknown): string[] {
  const { kind, name } = value as { kind?: unknown; name?: unknown };
  return kind === document.DocumentKind.Service && typeof name === 'string' ? [name] : [];
}

/** Position of the key of a field, because messages about a value name its key. */
function locateField(
  node: yaml.Document,
  path: readonly (string | number)[],
  lines: yaml.LineCounter,
): Position {
  const prefixes = path.map((_, depth) => path.slice(0, path.length - depth));
  for (const prefix of prefixes) {
    const parent = node.getIn(prefix.slice(0, -1), true);
    const offset = childOffset(parent, prefix[prefix.length - 1]);
    if (offset !== undefined) {
      return toPosition(offset, lines);
    }
  }
  const [start] = node.contents?.range ?? [0];
  return toPosition(start, lines);
}

function childOffset(parent: unknown, key: string | number): number | undefined {
  if (yaml.isMap(parent)) {
    const keys = parent.items.map((item) => item.key);
    return startOf(keys.find((entry) => yaml.isScalar(entry) && String(entry.value) === key));
  }
  return yaml.isSeq(parent) ? startOf(parent.items[Number(key)]) : undefined;
}

function startOf(node: unknown): number | undefined {
  return yaml.isNode(node) ? node.range?.at(0) : undefined;
}

function toPosition(offset: number, lines: yaml.LineCounter): Position {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(line, 1), column: Math.max(col, 1) };
}

// Configuration files are short; more aliases are a mistake or an attempt to exhaust memory.
const MAXIMUM_ALIASES = 100;
