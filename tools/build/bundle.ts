import * as fs from 'node:fs';
import * as path from 'node:path';
import * as esbuild from 'esbuild';
import * as programLoader from '../../platform/program-loader';
import * as deferred from './deferred';

/**
 * Bundles a program with everything that it uses into one file, without unused modules of this repository.
 *
 * @param entry compiled ES module of the program
 * @param outputFile the CommonJS file to write
 *
 * @example
 * await bundle('target/modules/platform/main.js', 'target/platform/main.js');
 */
export async function bundle(entry: string, outputFile: string): Promise<void> {
  await esbuild.build(optionsOf(entry, outputFile));
}

/** Bundles a module that `load` compiles: the text of the file is one function. */
export async function bundleProgram(entry: string, outputFile: string): Promise<void> {
  await esbuild.build({
    ...optionsOf(entry, outputFile),
    banner: { js: programLoader.MODULE_WRAPPER_START },
    footer: { js: programLoader.MODULE_WRAPPER_END },
  });
}

/** Marks the modules below a folder as ES modules without side effects, so that the bundler may omit unused ones. */
export function describeModules(folder: string): void {
  const description = { type: 'module', sideEffects: false };
  fs.writeFileSync(path.join(folder, 'package.json'), JSON.stringify(description));
}

function optionsOf(entry: string, outputFile: string): esbuild.BuildOptions {
  return {
    entryPoints: [entry],
    outfile: outputFile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: `node${process.versions.node}`,
    // Identifiers are not minified, because Nest and error reports use the names of classes and functions.
    minifyWhitespace: true,
    minifySyntax: true,
    external: EXTERNAL_PACKAGES.flatMap((name) => [name, `${name}/*`]),
    // Its CommonJS form requires its files through a variable, which the bundler cannot resolve.
    alias: { 'ts-results': 'ts-results/esm/index.js' },
    ...deferred.DEFERRED_GLOBALS,
    plugins: [deferred.DEFERRED_MODULES, COMMONJS_RESOLUTION],
    logOverride: { 'import-is-undefined': 'error' },
    logLevel: 'warning',
    charset: 'ascii',
  };
}

/** Packages that libraries load if they are installed; only the native part of `cbor-x` is. */
const EXTERNAL_PACKAGES = [
  '@fastify/static',
  '@fastify/view',
  '@nestjs/microservices',
  '@nestjs/platform-express',
  '@nestjs/websockets',
  'cbor-extract',
  'class-transformer',
  'class-validator',
];

/**
 * Resolves libraries that exist in both forms as CommonJS, as in the tests. Two copies of one library would have
 * different classes, and the ES form of `cbor-x` needs the URL of its module, which a CommonJS bundle lacks.
 */
const COMMONJS_RESOLUTION: esbuild.Plugin = {
  name: 'CommonJS resolution',
  setup(build) {
    build.onResolve(
      { filter: /^[@a-z]/ },
      ({ path: name, kind, resolveDir, importer, pluginData }) =>
        kind !== 'import-statement' || pluginData === RESOLVED || ES_MODULE_PACKAGES.has(name)
          ? undefined
          : build.resolve(name, {
              kind: 'require-call',
              resolveDir,
              importer,
              pluginData: RESOLVED,
            }),
    );
  },
};

const RESOLVED = 'resolved';

/** Only modules of this repository import these, so that one ES copy suffices and its unused parts are omitted. */
const ES_MODULE_PACKAGES = new Set(['ts-results', 'zod']);
