import * as fs from 'node:fs';
import * as path from 'node:path';
import * as check from './check';
import * as document from './document';
import * as parse from './parse';
import * as problem from './problem';

/** The configuration files under a folder and what they contain. */
export interface Collection {
  /** Paths relative to the folder, sorted. */
  readonly files: readonly string[];
  /** Complete only when there are no problems. */
  readonly documents: readonly document.ConfigurationDocument[];
  /** All problems of all files, sorted by file and position. */
  readonly problems: readonly problem.ConfigurationProblem[];
}

/**
 * Reads every `figline.yaml` and `*.figline.yaml` under a folder and checks all documents together.
 * Hidden folders, `node_modules` and links to folders are not searched.
 *
 * @example
 * const { documents, problems } = collect('services');
 * problems.map(formatProblem); // ['desk/figline.yaml:4:3: unknown field modle; did you mean model?']
 */
export function collect(folder: string): Collection {
  const found: FoundFiles = { files: [], problems: [] };
  search(folder, '', found);
  if (found.files.length === 0 && found.problems.length === 0) {
    // An empty set of documents would remove the whole active configuration.
    const message = 'no figline.yaml or *.figline.yaml is in this folder or below it';
    found.problems.push({ file: folder, line: 1, column: 1, message });
  }
  const files = found.files.sort();
  const parsed = files.map((file) => readFile(folder, file));
  const located = parsed.flatMap((entry) => entry.documents);
  const documents = located.map((entry) => entry.document);
  const invalidServices = parsed
    .flatMap((entry) => entry.invalidServices)
    .map((name) => ({ name }));
  const conflicts = check
    .checkDocuments(documents, invalidServices)
    .map((entry) => locateProblem(entry, located));
  const problems = [...found.problems, ...parsed.flatMap((entry) => entry.problems), ...conflicts];
  return { files, documents, problems: problems.sort(problem.compareProblems) };
}

interface FoundFiles {
  readonly files: string[];
  readonly problems: problem.ConfigurationProblem[];
}

function search(root: string, relative: string, found: FoundFiles): void {
  let entries: fs.Dirent[];
  try {
    entries = fs.readdirSync(path.join(root, relative), { withFileTypes: true });
  } catch (error) {
    found.problems.push(unreadable(relative === '' ? root : relative, error as Error));
    return;
  }
  entries.forEach((entry) => {
    const file = path.join(relative, entry.name);
    if (entry.isDirectory()) {
      if (!entry.name.startsWith('.') && entry.name !== 'node_modules') {
        search(root, file, found);
      }
    } else if (FILE_PATTERN.test(entry.name)) {
      found.files.push(file);
    } else if (MISNAMED_PATTERN.test(entry.name)) {
      const message = 'this file would be ignored; give its name the ending .yaml';
      found.problems.push({ file, line: 1, column: 1, message });
    }
  });
}

function readFile(root: string, file: string): parse.ParsedFile {
  try {
    const filePath = path.join(root, file);
    if (fs.statSync(filePath).size > MAXIMUM_FILE_BYTES) {
      throw new Error(`it is larger than ${MAXIMUM_FILE_BYTES} bytes`);
    }
    return parse.parseFile(file, fs.readFileSync(filePath, 'utf8'));
  } catch (error) {
    const problems = [unreadable(file, error as Error)];
    return { documents: [], problems, invalidServices: [] };
  }
}

function unreadable(file: string, error: Error): problem.ConfigurationProblem {
  return { file, line: 1, column: 1, message: `cannot be read: ${error.message}` };
}

function locateProblem(
  entry: check.DocumentProblem,
  located: readonly parse.LocatedDocument[],
): problem.ConfigurationProblem {
  const { file, locate } = located[entry.index];
  const position = locate(entry.path);
  if (entry.relatedIndex === undefined) {
    return { file, ...position, message: entry.message };
  }
  const other = located[entry.relatedIndex];
  const { line } = other.locate(['name']);
  const owner = `${other.document.kind} ${other.document.name}`;
  return {
    file,
    ...position,
    message: `${entry.message} (the other is ${owner} at ${other.file}:${line})`,
  };
}

const FILE_PATTERN = /^(?:.+\.)?figline\.yaml$/;
const MISNAMED_PATTERN = /^(?:.+\.)?figline\.ya?ml$/i;

// Configuration files are short; a larger one is another kind of file with the same name.
const MAXIMUM_FILE_BYTES = 1_048_576;
