/**
 * The valid name with the smallest edit distance to `name`, or undefined when `name` is probably not a
 * misspelling of any.
 *
 * @example
 * nearestName('slotsPerRuner', ['slotsPerRunner', 'model']); // 'slotsPerRunner'
 */
export function nearestName(name: string, validNames: Iterable<string>): string | undefined {
  const limit = Math.max(1, Math.floor(name.length * MAXIMUM_CHANGED_SHARE));
  let best: { readonly candidate: string; readonly distance: number } | undefined;
  for (const candidate of validNames) {
    const distance = editDistance(name.toLowerCase(), candidate.toLowerCase());
    if (distance <= limit && (best === undefined || distance < best.distance)) {
      best = { candidate, distance };
    }
  }
  return best?.candidate;
}

/**
 * The end of an error message: the most similar valid name, or all valid names when none is similar.
 *
 * @example
 * suggest('sevice', ['service', 'team']); // 'did you mean service?'
 */
export function suggest(name: string, validNames: readonly string[]): string {
  const nearest = nearestName(name, validNames);
  if (nearest !== undefined) {
    return `did you mean ${nearest}?`;
  }
  return validNames.length === 0 ? 'none is defined' : `known: ${formatNames(validNames)}`;
}

// With more than two changed letters in five it is usually another word, not a misspelling.
const MAXIMUM_CHANGED_SHARE = 0.4;

const MAXIMUM_LISTED_NAMES = 12;

function formatNames(validNames: readonly string[]): string {
  const shown = validNames.slice(0, MAXIMUM_LISTED_NAMES).join(', ');
  const hidden = validNames.length - MAXIMUM_LISTED_NAMES;
  return hidden > 0 ? `${shown} and ${hidden} more` : shown;
}

/** Optimal string alignment distance: counts substitutions, deletions, insertions and transpositions. */
function editDistance(left: string, right: string): number {
  let beforePrevious: number[] = [];
  let previous = Array.from({ length: right.length + 1 }, (_, column) => column);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const substitution = left[row - 1] === right[column - 1] ? 0 : 1;
      const swapped =
        row > 1 &&
        column > 1 &&
        left[row - 1] === right[column - 2] &&
        left[row - 2] === right[column - 1];
      current[column] = Math.min(
        previous[column] + 1,
        current[column - 1] + 1,
        previous[column - 1] + substitution,
        swapped ? beforePrevious[column - 2] + 1 : Infinity,
      );
    }
    beforePrevious = previous;
    previous = current;
  }
  return previous[right.length];
}
