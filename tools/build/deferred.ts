import * as path from 'node:path';
import type * as esbuild from 'esbuild';

/**
 * Replaces parts of libraries that cost time at the start but are needed later or never. The program can still call all
 * of them; an import that a replacement does not export fails the build.
 */
export const DEFERRED_MODULES: esbuild.Plugin = {
  name: 'deferred modules',
  setup(build) {
    const namespace = 'deferred';
    build.onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace }));
    build.onResolve({ filter: /\/client-h2\.js$/ }, ({ pluginData }) =>
      pluginData === ORIGINAL ? undefined : { path: 'client-h2', namespace },
    );
    build.onLoad({ filter: /.*/, namespace }, ({ path: name }) => ({
      contents: REPLACEMENTS[name],
      resolveDir: process.cwd(),
      pluginData: ORIGINAL,
    }));
  },
};

const ORIGINAL = 'original';

const REPLACEMENTS: Readonly<Record<string, string>> = {
  // The rest of the package loads Node's own copy of undici through `globalThis.Headers`.
  undici: `
    import Client from 'undici/lib/dispatcher/client.js';
    import buildConnector from 'undici/lib/core/connect.js';
    import errors from 'undici/lib/core/errors.js';
    export { Client, buildConnector, errors };
    export const request = (...values) => require('undici/index.js').request(...values);`,
  // Connections to backend servers are HTTP/1.1.
  'client-h2': `
    module.exports = (...values) => require('undici/lib/dispatcher/client-h2.js')(...values);`,
};

/** Options that replace a global class. */
export const DEFERRED_GLOBALS: Pick<esbuild.BuildOptions, 'define' | 'inject'> = {
  define: { 'Intl.DateTimeFormat': 'DeferredDateTimeFormat' },
  inject: [path.join('tools', 'build', 'deferred-date-time-format.ts')],
};
