/** Turns schema issues into sentences that name the field, what is wrong and what would be right. */
import * as results from 'ts-results';
import type * as zod from 'zod';
import * as suggestion from '../suggestion';
import * as document from './document';

/** A sentence about one field. */
export interface FieldProblem {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

/**
 * The schema for the kind and type that a document claims, so that its faults are reported against this
 * schema only and not against every schema of the union.
 */
export function chooseSchema(value: unknown): results.Result<zod.ZodObject, FieldProblem> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return results.Err({ path: [], message: 'a document is a mapping that begins with kind' });
  }
  const { kind, type } = value as { kind?: unknown; type?: unknown };
  const misfit =
    enumFault('kind', kind, Object.values(document.DocumentKind)) ??
    (kind === document.DocumentKind.Service
      ? enumFault('type', type, Object.values(document.ServiceType))
      : undefined);
  if (misfit !== undefined) {
    return results.Err(misfit);
  }
  return results.Ok(schemaOf(kind as document.DocumentKind, type as document.ServiceType));
}

/** The sentences for one issue: one, or one for each unknown field. */
export function explainIssue(
  issue: zod.core.$ZodIssue,
  schema: zod.ZodType,
  value: unknown,
): readonly FieldProblem[] {
  const path = issue.path as (string | number)[];
  if (issue.code === 'unrecognized_keys') {
    const known = knownFields(schema, path);
    return issue.keys.map((key) => ({
      path: [...path, key],
      message: `unknown field ${key}; ${suggestion.suggest(key, known)}`,
    }));
  }
  const field = fieldName(path);
  const given = valueAt(value, path);
  if (given === undefined) {
    return [{ path, message: `${field} is missing${expectation(issue)}` }];
  }
  return [{ path, message: `${field} ${explainValue(issue, given)}` }];
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

function enumFault(
  field: string,
  given: unknown,
  known: readonly string[],
): FieldProblem | undefined {
  if (given === undefined || given === null) {
    return { path: [field], message: `${field} is missing; use one of ${known.join(', ')}` };
  }
  return known.some((name) => name === given)
    ? undefined
    : { path: [field], message: `${field} is ${shown(given)}; ${suggestValue(given, known)}` };
}

function explainValue(issue: zod.core.$ZodIssue, given: unknown): string {
  switch (issue.code) {
    case 'invalid_type':
      return `is ${shown(given)}${expectation(issue)}`;
    case 'invalid_value':
      return `is ${shown(given)}; ${suggestValue(given, issue.values.map(String))}`;
    case 'too_small':
      return `is too ${sizeWord(given, 'short', 'small')}; ${bound('at least', 'more than', issue.minimum, issue.inclusive, given)}`;
    case 'too_big':
      return `is too ${sizeWord(given, 'long', 'large')}; ${bound('at most', 'less than', issue.maximum, issue.inclusive, given)}`;
    default:
      return `is ${shown(given)}; ${issue.message}`;
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

function suggestValue(given: unknown, known: readonly string[]): string {
  const nearest = suggestion.nearestName(String(given), known);
  const choices = `use one of ${known.join(', ')}`;
  return nearest === undefined ? choices : `did you mean ${nearest}? (${choices})`;
}

function sizeWord(given: unknown, ofLength: string, ofNumber: string): string {
  return typeof given === 'number' ? ofNumber : ofLength;
}

function bound(
  inclusiveWord: string,
  exclusiveWord: string,
  limit: number | bigint,
  inclusive: boolean | undefined,
  given: unknown,
): string {
  const word = inclusive === false ? exclusiveWord : inclusiveWord;
  return `use ${word} ${limit}${unitOf(given, limit)}`;
}

function unitOf(given: unknown, limit: number | bigint): string {
  const plural = Number(limit) === 1 ? '' : 's';
  if (Array.isArray(given)) {
    return Number(limit) === 1 ? ' entry' : ' entries';
  }
  return typeof given === 'string' ? ` character${plural}` : '';
}

/** Shortens a value, because a credential pasted by mistake must not reach a log in full. */
function shown(given: unknown): string {
  if (given === null) {
    return 'empty';
  }
  const text = typeof given === 'object' ? `a ${containerName(given)}` : JSON.stringify(given);
  return text.length > MAXIMUM_SHOWN_CHARACTERS
    ? `${text.slice(0, MAXIMUM_SHOWN_CHARACTERS)}…`
    : text;
}

const MAXIMUM_SHOWN_CHARACTERS = 24;

function containerName(given: object): string {
  return Array.isArray(given) ? 'list' : 'mapping';
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

/** Field names of the object schema at a path; lists, defaults and optional fields are looked through. */
function knownFields(schema: zod.ZodType, path: readonly (string | number)[]): string[] {
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
