import * as fastCheck from 'fast-check';
import * as zod from 'zod';

/** A schema with the part of its definition that its values depend on. */
interface Definition {
  readonly type: string;
  readonly format?: string;
  readonly checks?: readonly { readonly _zod: { readonly def: CheckDefinition } }[];
  readonly values?: readonly unknown[];
  readonly entries?: Readonly<Record<string, unknown>>;
  readonly shape?: Readonly<Record<string, zod.ZodType>>;
  readonly options?: readonly zod.ZodType[];
  readonly items?: readonly zod.ZodType[];
  readonly element?: zod.ZodType;
  readonly innerType?: zod.ZodType;
  readonly valueType?: zod.ZodType;
  readonly in?: zod.ZodType;
}

interface CheckDefinition {
  readonly check: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly value?: number;
}

/**
 * Values that a schema accepts, with and without each optional field and at the limits of numbers and lengths. They come from
 * the schema alone, so that a new field needs no change here.
 *
 * @param candidates values for the parts that a schema checks with a function or a pattern
 * @throws if no candidate fits such a part
 *
 * @example
 * fastCheck.property(valuesOf(messageSchema, []), (message) => messageSchema.safeParse(message).success);
 */
export function valuesOf(
  schema: zod.ZodType,
  candidates: readonly unknown[],
): fastCheck.Arbitrary<unknown> {
  const definition = definitionOf(schema);
  const nested = (part: zod.ZodType) => valuesOf(part, candidates);
  switch (definition.type) {
    case 'object':
      return objectValues(definition, nested);
    case 'array':
      return arrayValues(definition, nested);
    case 'union':
      return fastCheck.oneof(...definition.options!.map(nested));
    case 'tuple':
      return fastCheck.tuple(...definition.items!.map(nested));
    case 'record':
      return fastCheck.dictionary(
        fastCheck.constantFrom('a', 'b', 'c'),
        nested(definition.valueType!),
      );
    case 'enum':
      return fastCheck.constantFrom(...Object.values(definition.entries!));
    case 'literal':
      return fastCheck.constantFrom(...definition.values!);
    case 'boolean':
      return fastCheck.boolean();
    case 'number':
      return numberValues(schema, definition);
    case 'string':
      return stringValues(schema, definition, candidates);
    case 'nullable':
      return fastCheck.oneof(fastCheck.constant(null), nested(definition.innerType!));
    case 'optional':
    case 'default':
    case 'prefault':
      return nested(definition.innerType!);
    case 'pipe':
      return nested(definition.in!);
    case 'unknown':
      return fastCheck.constantFrom<unknown>('a', 7, null, { limits: [] });
    default:
      return candidatesFor(schema, candidates);
  }
}

/**
 * One schema for each variant of the unions in a schema, so that a rare variant is not left to chance.
 *
 * @example
 * variantsOf(zod.object({ message: zod.union([vote, append]) })).length; // 2
 */
export function variantsOf(schema: zod.ZodType): readonly zod.ZodType[] {
  const { type, options = [], shape = {} } = definitionOf(schema);
  if (type === 'union') {
    return options.flatMap(variantsOf);
  }
  const unions = Object.entries(shape).filter(([, part]) => definitionOf(part).type === 'union');
  return unions.length === 0
    ? [schema]
    : unions.flatMap(([name, part]) =>
        variantsOf(part).map((variant) => (schema as zod.ZodObject).extend({ [name]: variant })),
      );
}

/** The variant of a union of messages that has this kind. */
export function variantOf(schema: zod.ZodType, kind: unknown): zod.ZodObject {
  const variants = definitionOf(schema).options as readonly zod.ZodObject[];
  const found = variants.find(({ shape }) => definitionOf(shape.kind).values?.includes(kind));
  if (found === undefined) {
    throw new Error(`no message has the kind ${String(kind)}`);
  }
  return found;
}

function definitionOf({ _zod: { def } }: zod.core.$ZodType): Definition {
  return def as unknown as Definition;
}

/** A field may have any value, also an undefined one, and be required all the same. */
function mayBeAbsent({ _zod: { optin } }: zod.core.$ZodType): boolean {
  return optin === 'optional';
}

function objectValues(
  { shape = {} }: Definition,
  nested: (part: zod.ZodType) => fastCheck.Arbitrary<unknown>,
): fastCheck.Arbitrary<unknown> {
  const fields = Object.entries(shape).map(([name, part]) => [name, nested(part)] as const);
  const requiredKeys = Object.keys(shape).filter((name) => !mayBeAbsent(shape[name]));
  return fastCheck.record(Object.fromEntries(fields), { requiredKeys, noNullPrototype: true });
}

function arrayValues(
  { element, checks }: Definition,
  nested: (part: zod.ZodType) => fastCheck.Arbitrary<unknown>,
): fastCheck.Arbitrary<unknown> {
  const { minimum, maximum } = lengthsOf(checks);
  const minLength = minimum ?? 0;
  const maxLength = Math.min(maximum ?? SHORT_LENGTH, minLength + SHORT_LENGTH);
  const short = fastCheck.array(nested(element!), { minLength, maxLength });
  if (maximum === undefined) {
    return short;
  }
  const full = nested(element!).map((value) => Array.from({ length: maximum }, () => value));
  return fastCheck.oneof({ weight: 19, arbitrary: short }, { weight: 1, arbitrary: full });
}

function numberValues(schema: zod.ZodType, definition: Definition): fastCheck.Arbitrary<unknown> {
  const limits = checksOf(definition.checks).flatMap(({ value = 0 }) => [
    value - 1,
    value,
    value + 1,
  ]);
  const numbers = [...limits, ...NUMBERS].filter((value) => schema.safeParse(value).success);
  const whole = fastCheck
    .integer({ min: 0, max: 1_000 })
    .filter((value) => schema.safeParse(value).success);
  return fastCheck.oneof(fastCheck.constantFrom(...numbers), whole);
}

function stringValues(
  schema: zod.ZodType,
  { checks }: Definition,
  candidates: readonly unknown[],
): fastCheck.Arbitrary<unknown> {
  if (checksOf(checks).some(({ check }) => check === 'string_format')) {
    return candidatesFor(schema, candidates);
  }
  const { minimum = 0, maximum = LONG_TEXT } = lengthsOf(checks);
  const texts = ['', 'a', 'b', 'c', 'é€', 'm'.repeat(Math.max(1, minimum)), 'x'.repeat(maximum)];
  return fastCheck.constantFrom(...texts.filter((text) => schema.safeParse(text).success));
}

function candidatesFor(
  schema: zod.ZodType,
  candidates: readonly unknown[],
): fastCheck.Arbitrary<unknown> {
  const accepted = candidates.filter((candidate) => schema.safeParse(candidate).success);
  if (accepted.length === 0) {
    throw new Error(`no candidate fits a schema of type ${definitionOf(schema).type}; add one`);
  }
  return fastCheck.constantFrom(...accepted);
}

function checksOf(checks: Definition['checks'] = []): readonly CheckDefinition[] {
  return checks.map(({ _zod: { def } }) => def);
}

function lengthsOf(checks: Definition['checks']): { minimum?: number; maximum?: number } {
  const definitions = checksOf(checks);
  return {
    minimum: definitions.find(({ check }) => check === 'min_length')?.minimum,
    maximum: definitions.find(({ check }) => check === 'max_length')?.maximum,
  };
}

const SHORT_LENGTH = 3;

const LONG_TEXT = 40;

const NUMBERS = [-1, 0, 1, 0.25, 7, 65_536, 2 ** 31, 2 ** 32 + 1, 1.8e12, Number.MAX_SAFE_INTEGER];
