import * as fs from 'node:fs';
import * as path from 'node:path';
import * as esbuild from 'esbuild';
import * as programLoader from '../../platform/program-loader';
import * as deferred from './deferred';

/**
 * Joins a program and everything that it uses into one file. Modules of this repository that nothing uses are
 * left out.
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

/** Does the same for a module that `load` compiles: its text is a function. */
export async function bundleProgram(entry: string, outputFile: string): Promise<void> {
  await esbuild.build({
    ...optionsOf(entry, outputFile),
    banner: { js: programLoader.MODULE_WRAPPER_START },
    footer: { js: programLoader.MODULE_WRAPPER_END },
  });
}

/** Tells the bundler that modules below a folder are ES modules that may be left out when nothing uses them. */
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
    // Names of classes and functions stay, since Nest and error reports use them.
    minifyWhitespace: true,
    minifySyntax: true,
    external: OUTSIDE_PACKAGES.flatMap((name) => [name, `${name}/*`]),
    // Its CommonJS form requires its parts through a variable, which cannot be followed.
    alias: { 'ts-results': 'ts-results/esm/index.js' },
    ...deferred.DEFERRED_GLOBALS,
    plugins: [deferred.DEFERRED_PARTS, REQUIRED_PACKAGES],
    logOverride: { 'import-is-undefined': 'error' },
    logLevel: 'warning',
    charset: 'ascii',
  };
}

/** Packages that libraries load if they are installed. Only the native part of `cbor-x` is. */
const OUTSIDE_PACKAGES = [
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
 * Libraries that offer both forms are taken as CommonJS, as in the tests; two copies of one library would not
 * know each other's classes, and `cbor-x` asks for the place of its module, which a CommonJS bundle lacks.
 */
const REQUIRED_PACKAGES: esbuild.Plugin = {
  name: 'required packages',
  setup(build) {
    build.onResolve(
      { filter: /^[@a-z]/ },
      ({ path: name, kind, resolveDir, importer, pluginData }) =>
        kind !== 'import-statement' || pluginData === RESOLVED || ES_PACKAGES.has(name)
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

/** Only modules of this repository import them, so that there is one copy, without its unused parts. */
const ES_PACKAGES = new Set(['ts-results', 'zod']);
