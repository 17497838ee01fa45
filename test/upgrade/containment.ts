/**
 * The paths at which `whole` lacks or changes a value of `part`; fields that only `whole` has are allowed.
 *
 * @example
 * missingParts({ a: 1, b: 2 }, { a: 1, c: 3 }); // ['b']
 */
export function missingParts(part: unknown, whole: unknown, path = ''): readonly string[] {
  if (part === whole || (Number.isNaN(part) && Number.isNaN(whole))) {
    return [];
  }
  if (!isObject(part) || !isObject(whole)) {
    return [path];
  }
  if (isList(part) || isList(whole)) {
    if (!isList(part) || !isList(whole) || part.length !== whole.length) {
      return [path];
    }
  }
  return Object.entries(part)
    .filter(([, value]) => value !== undefined)
    .flatMap(([key, value]) =>
      missingParts(
        value,
        (whole as Record<string, unknown>)[key],
        path === '' ? key : `${path}.${key}`,
      ),
    );
}

function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}

function isList(value: object): value is ArrayLike<unknown> {
  return Array.isArray(value) || ArrayBuffer.isView(value);
}
