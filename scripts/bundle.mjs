/**
 * Bundles the platform's router into one file, which starts faster and uses less memory, with an entry point beside it that
 * loads it. Argument: the file of the entry point (default: `target/router.js`); the bundle is `router.bundle.js` then.
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
  // Parsing of multipart uploads, files served from a folder, and HTTP/2.
  { library: 'moleculer-web', modules: /^(@fastify\/busboy|serve-static|http2)$/ },
  // Web APIs, mocks, the response cache, and HTTP/2.
  { library: 'undici', modules: /^\.\/(lib\/(web|mock|cache)\/|client-h2)/ },
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

const entryFile = process.argv[2] ?? path.join(root, 'target/router.js');

const shared = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  // Identifiers are not minified, so that stack traces stay readable.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
};

await Promise.all([
  Esbuild.build({
    ...shared,
    entryPoints: [path.join(root, 'platform/src/main.ts')],
    outfile: entryFile.replace(/\.js$/, '.bundle.js'),
    format: 'cjs',
    external: Object.keys(peerDependencies).filter((name) => name !== 'pino'),
    plugins: [workspaceSources, emptyModules],
    legalComments: 'external',
  }),
  Esbuild.build({
    ...shared,
    entryPoints: [path.join(root, 'platform/src/start.ts')],
    outfile: entryFile,
  }),
]);
