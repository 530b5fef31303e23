/**
 * Bundles the platform's router into one file, which starts faster and uses less memory.
 * Argument: the output file (default: `target/router.js`).
 */
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import * as Esbuild from 'esbuild';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));

/** Resolves workspace packages to their sources, so that bundling needs no build first. */
const workspaceSources = {
  name: 'workspace-sources',
  setup(build) {
    build.onResolve({ filter: /^@sequoiarill\// }, ({ path: name }) => ({
      path: path.join(
        root,
        'packages',
        name.replace('@sequoiarill/', 'sequoiarill-'),
        'src/index.ts',
      ),
    }));
  },
};

/** Optional peers of moleculer: loaded only when its settings select them, and not installed (except pino). */
const { peerDependencies } = JSON.parse(
  readFileSync(path.join(root, 'node_modules/moleculer/package.json'), 'utf8'),
);

/**
 * Modules of libraries that the router never uses. Loading code dominates its start: without these
 * modules the start takes half the time and memory, which matters when a small VM restarts while
 * callers wait.
 */
const unusedModules = [
  // Trace exporters, the runner's command line, and hot reloading.
  { library: 'moleculer', modules: /^(node-fetch|args|glob)$/ },
  // Parsing of multipart uploads.
  { library: 'moleculer-web', modules: /^@fastify\/busboy$/ },
  // Web APIs, mocks, and the response cache.
  { library: 'undici', modules: /^\.\/lib\/(web|mock|cache)\// },
  // Readers and writers of histogram log files, and the WebAssembly implementation.
  { library: 'hdr-histogram-js', modules: /^\.\/(HistogramLogReader|HistogramLogWriter|wasm)$/ },
];

/** Replaces an unused module: every export is an empty class, so that a use fails at the place of the use. */
const EMPTY_MODULE = 'module.exports = new Proxy(class {}, { get: () => class {} });';

const emptyModules = {
  name: 'empty-modules',
  setup(build) {
    for (const { library, modules } of unusedModules) {
      const folder = path.join(root, 'node_modules', library) + path.sep;
      build.onResolve({ filter: modules }, ({ path: name, importer }) =>
        importer.startsWith(folder) ? { path: name, namespace: 'empty-module' } : undefined,
      );
    }
    build.onLoad({ filter: /.*/, namespace: 'empty-module' }, () => ({ contents: EMPTY_MODULE }));
  },
};

await Esbuild.build({
  entryPoints: [path.join(root, 'platform/src/main.ts')],
  outfile: process.argv[2] ?? path.join(root, 'target/router.js'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  external: Object.keys(peerDependencies).filter((name) => name !== 'pino'),
  plugins: [workspaceSources, emptyModules],
  // Identifiers are not minified, so that stack traces stay readable.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'external',
  logLevel: 'warning',
});
