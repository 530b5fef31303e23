/**
 * Bundles the platform's router into one file: it starts faster and takes less memory.
 * Argument: the file, instead of `target/router.js`.
 */
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import * as Esbuild from 'esbuild';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));

/** Packages of the workspace are taken from their sources, so that no build has to run before. */
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

/** moleculer loads these only when its settings name them; they are not installed. */
const { peerDependencies } = JSON.parse(
  readFileSync(path.join(root, 'node_modules/moleculer/package.json'), 'utf8'),
);

/**
 * Parts of libraries that this path never reaches. Most of a start is loading code: without these it takes
 * half the time and memory, which counts where a small VM starts again and its callers wait.
 */
const unusedParts = [
  // Exporters of traces, the runner's command line, and hot reloading.
  { library: 'moleculer', parts: /^(node-fetch|args|glob)$/ },
  // Forms with files.
  { library: 'moleculer-web', parts: /^@fastify\/busboy$/ },
  // Browser interfaces, test doubles, and caches of answers.
  { library: 'undici', parts: /^\.\/lib\/(web|mock|cache)\// },
  // Files of histograms, and their WebAssembly twin.
  { library: 'hdr-histogram-js', parts: /^\.\/(HistogramLogReader|HistogramLogWriter|wasm)$/ },
];

/** Stands in for a part: classes without members, so that a use of one fails where it happens. */
const EMPTY_PART = 'module.exports = new Proxy(class {}, { get: () => class {} });';

const emptyParts = {
  name: 'empty-parts',
  setup(build) {
    for (const { library, parts } of unusedParts) {
      const folder = path.join(root, 'node_modules', library) + path.sep;
      build.onResolve({ filter: parts }, ({ path: name, importer }) =>
        importer.startsWith(folder) ? { path: name, namespace: 'empty-part' } : undefined,
      );
    }
    build.onLoad({ filter: /.*/, namespace: 'empty-part' }, () => ({ contents: EMPTY_PART }));
  },
};

await Esbuild.build({
  entryPoints: [path.join(root, 'platform/src/main.ts')],
  outfile: process.argv[2] ?? path.join(root, 'target/router.js'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  external: Object.keys(peerDependencies).filter((name) => name !== 'pino'),
  plugins: [workspaceSources, emptyParts],
  // Names stay as they are: stack traces are read by people.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'external',
  logLevel: 'warning',
});
