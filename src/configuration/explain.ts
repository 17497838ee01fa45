/** Converts schema issues into messages that name the field, what is wrong and what would be right. */
import * as results from 'ts-results';
import type * as zod from 'zod';
import * as suggestion from '../suggestion';
import * as document from './document';

/** A problem of one field. */
export interface FieldProblem {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

/**
 * Selects the schema by the kind and type of a document, so that its problems are reported against this
 * schema only and not against every schema of the union. `Err` when the kind or type is invalid.
 */
export function chooseSchema(value: unknown): results.Result<zod.ZodObject, FieldProblem> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return results.Err({ path: [], message: 'a document is a mapping that begins with kind' });
  }
  const { kind, type } = value as { kind?: unknown; type?: unknown };
  const kindProblem =
    enumProblem('kind', kind, Object.values(document.DocumentKind)) ??
    (kind === document.DocumentKind.Service
      ? enumProblem('type', type, Object.values(document.ServiceType))
      : undefined);
  if (kindProblem !== undefined) {
    return results.Err(kindProblem);
  }
  return results.Ok(schemaOf(kind as document.DocumentKind, type as document.ServiceType));
}

/** Explains one issue as one problem, or as one for each unknown field. */
export function explainIssue(
  issue: zod.core.$ZodIssue,
  schema: zod.ZodType,
  value: unknown,
): readonly FieldProblem[] {
  const path = issue.path as (string | number)[];
  if (issue.code === 'unrecognized_keys') {
    const validFields = fieldsAt(schema, path);
    return issue.keys.map((key) => ({
      path: [...path, key],
      message: `unknown field ${key}; ${suggestion.suggest(key, validFields)}`,
    }));
  }
  const field = fieldName(path);
  const actual = valueAt(value, path);
  if (actual === undefined) {
    return [{ path, message: `${field} is missing${expectation(issue)}` }];
  }
  return [{ path, message: `${field} ${explainValue(issue, actual)}` }];
}

function schemaOf(kind: document.DocumentKind, type: document.ServiceType): zod.ZodObject {
  switch (kind) {
    case document.DocumentKind.Team:
      return document.teamSchema;
    case document.DocumentKind.Intent:
      return document.intentSchema;
    default:
      return type === document.ServiceType.Plain
        ? document.plainServiceSchema
        : document.modelServiceSchema;
  }
}

function enumProblem(
  field: string,
  actual: unknown,
  validNames: readonly string[],
): FieldProblem | undefined {
  if (actual === undefined || actual === null) {
    return { path: [field], message: `${field} is missing; use one of ${validNames.join(', ')}` };
  }
  return validNames.some((name) => name === actual)
    ? undefined
    : {
        path: [field],
        message: `${field} is ${abbreviate(actual)}; ${suggestValue(actual, validNames)}`,
      };
}

function explainValue(issue: zod.core.$ZodIssue, actual: unknown): string {
  switch (issue.code) {
    case 'invalid_type':
      return `is ${abbreviate(actual)}${expectation(issue)}`;
    case 'invalid_value':
      return `is ${abbreviate(actual)}; ${suggestValue(actual, issue.values.map(String))}`;
    case 'too_small':
      return `is too ${sizeWord(actual, 'short', 'small')}; ${limitText('at least', 'more than', issue.minimum, issue.inclusive, actual)}`;
    case 'too_big':
      return `is too ${sizeWord(actual, 'long', 'large')}; ${limitText('at most', 'less than', issue.maximum, issue.inclusive, actual)}`;
    default:
      return `is ${abbreviate(actual)}; ${issue.message}`;
  }
}

function expectation(issue: zod.core.$ZodIssue): string {
  if (issue.code === 'invalid_value') {
    return `; use one of ${issue.values.map(String).join(', ')}`;
  }
  if (issue.code !== 'invalid_type') {
    return '';
  }
  return `; ${EXPECTED[issue.expected] ?? `use a value of type ${issue.expected}`}`;
}

const EXPECTED: Readonly<Record<string, string>> = {
  string: 'use text, in quotes when it looks like a number',
  number: 'use a number',
  int: 'use a whole number',
  boolean: 'use true or false',
  array: 'use a list, one entry a line after a hyphen',
  object: 'use a mapping',
};

function suggestValue(actual: unknown, validNames: readonly string[]): string {
  const nearest = suggestion.nearestName(String(actual), validNames);
  const choices = `use one of ${validNames.join(', ')}`;
  return nearest === undefined ? choices : `did you mean ${nearest}? (${choices})`;
}

function sizeWord(actual: unknown, ofLength: string, ofNumber: string): string {
  return typeof actual === 'number' ? ofNumber : ofLength;
}

function limitText(
  inclusiveWord: string,
  exclusiveWord: string,
  limit: number | bigint,
  inclusive: boolean | undefined,
  actual: unknown,
): string {
  const word = inclusive === false ? exclusiveWord : inclusiveWord;
  return `use ${word} ${limit}${unitOf(actual, limit)}`;
}

function unitOf(actual: unknown, limit: number | bigint): string {
  const plural = Number(limit) === 1 ? '' : 's';
  if (Array.isArray(actual)) {
    return Number(limit) === 1 ? ' entry' : ' entries';
  }
  return typeof actual === 'string' ? ` character${plural}` : '';
}

/** Truncates a value, because a credential pasted by mistake must not reach a log in full. */
function abbreviate(actual: unknown): string {
  if (actual === null) {
    return 'empty';
  }
  const text = typeof actual === 'object' ? `a ${containerName(actual)}` : JSON.stringify(actual);
  return text.length > MAXIMUM_SHOWN_CHARACTERS
    ? `${text.slice(0, MAXIMUM_SHOWN_CHARACTERS)}…`
    : text;
}

const MAXIMUM_SHOWN_CHARACTERS = 24;

function containerName(actual: object): string {
  return Array.isArray(actual) ? 'list' : 'mapping';
}

function fieldName(path: readonly (string | number)[]): string {
  const text = path.map((part) => (typeof part === 'number' ? `[${part}]` : `.${part}`)).join('');
  return text === '' ? 'the document' : text.slice(1);
}

function valueAt(value: unknown, path: readonly (string | number)[]): unknown {
  return path.reduce<unknown>(
    (current, part) =>
      typeof current === 'object' && current !== null
        ? (current as Record<string | number, unknown>)[part]
        : undefined,
    value,
  );
}

/** Field names of the object schema at a path; unwraps lists, defaults and optional fields. */
function fieldsAt(schema: zod.ZodType, path: readonly (string | number)[]): string[] {
  const target = path.reduce<unknown>((current, part) => {
    const { shape, element } = unwrap(current);
    return typeof part === 'number' ? element : shape?.[part];
  }, schema);
  return Object.keys(unwrap(target).shape ?? {});
}

interface SchemaParts {
  readonly shape?: Readonly<Record<string, unknown>>;
  readonly element?: unknown;
}

function unwrap(schema: unknown): SchemaParts {
  const { def } = (schema ?? {}) as { def?: SchemaParts & { readonly innerType?: unknown } };
  return def?.innerType === undefined ? (def ?? {}) : unwrap(def.innerType);
}
