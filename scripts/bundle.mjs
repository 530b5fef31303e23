/** Bundles the platform's router into one file: it starts faster and takes less memory. */
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

await Esbuild.build({
  entryPoints: [path.join(root, 'platform/src/main.ts')],
  outfile: path.join(root, 'target/router.js'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  external: Object.keys(peerDependencies).filter((name) => name !== 'pino'),
  plugins: [workspaceSources],
  logLevel: 'warning',
});
