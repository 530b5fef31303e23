/** Starts routers as the deploy file says: its command, and its settings template with the platform's fields. */
/* eslint-disable no-await-in-loop -- steps follow each other */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const READY_TIMEOUT_MS = 15_000;

/** Settings of the platform, as on the page of the deploy file, with the bounds of the sheet `km-fit`. */
const FIELDS = {
  region: 'eu-central',
  'limits.memoryMb': 200,
  invariants: 'base,drain,config,cost,retry,recover,engine,stream,tenants,platform',
  'bounds.graceS': 8,
  'bounds.retryBudgetRatio': 0.8,
  'bounds.retrySlack': 150,
  'bounds.retryWindowS': 10,
};

function readCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Only the placeholders that the project's template uses. */
function formatSettings(fields) {
  const template = readFileSync(path.join(ROOT, 'deploy/router.ini'), 'utf8');
  return template.replaceAll(/\{\{([^}]+)\}\}/g, (_whole, name) => {
    const list = /^(.*)\.(\d+)$/.exec(name);
    const value = list === null ? fields[name] : fields[list[1]].split(',')[Number(list[2])];
    return value === undefined ? '' : String(value);
  });
}

/** A port of the address that is free now. */
export async function findFreePort(address) {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, address, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

export function waitMs(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function isReady(address) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(port) });
    socket.once('error', () => resolve(false));
    socket.once('data', (data) => {
      socket.destroy();
      resolve(data.toString('latin1').startsWith('HTTP/1.1 200'));
    });
    socket.write('GET /readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n');
  });
}

/** A deployment of routers, each with a loopback address of its own. */
export function createDeployment({ record, store, fields = {} }) {
  const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  const command = readCommand();
  const routers = [];

  async function addRouter(zone) {
    const index = routers.length;
    const ip = `127.77.${process.pid % 250}.${index + 10}`;
    const ports = [];
    for (let count = 0; count < 4; count += 1) ports.push(await findFreePort(ip));
    const router = {
      name: `edge-${index + 1}`,
      zone,
      ip,
      listen: `${ip}:${ports[0]}`,
      readiness: `${ip}:${ports[1]}`,
      control: `${ip}:${ports[2]}`,
      relay: ports[3],
      child: undefined,
      logFile: path.join(folder, `edge-${index + 1}.log`),
    };
    routers.push(router);
    return router;
  }

  /** Starts the process; the caller waits for it with `waitUntilReady`. */
  function startRouter(router) {
    const settings = formatSettings({
      ...FIELDS,
      ...fields,
      nodeName: router.name,
      zone: router.zone,
      ip: router.ip,
      'platform.address': store,
      'listen.edgeAddr': router.listen,
      'listen.readiness': router.readiness,
      'listen.controlPlane': router.control,
      portRange: `${router.relay},${router.relay}`,
      seedNodes: routers
        .slice(0, 3)
        .map(({ control }) => control)
        .join(','),
    });
    const file = path.join(folder, `${router.name}.ini`);
    writeFileSync(file, settings);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command[0], command.slice(1), {
      cwd: ROOT,
      env: { PATH, HOME, LANG, SEQUOIARILL_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(router.logFile, { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      record(`router ${router.name} ended: code ${code}, signal ${signal}`);
      if (router.child === child) Object.assign(router, { child: undefined });
    });
    Object.assign(router, { child });
    record(`router ${router.name} started`);
  }

  async function waitUntilReady(router) {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      if (await isReady(router.readiness)) return;
      await waitMs(50);
    }
    throw new Error(`${router.name} is not ready`);
  }

  async function stopAll() {
    for (const { child } of routers) child?.kill('SIGKILL');
    await waitMs(100);
    if (process.env.KEEP_LOGS === undefined) rmSync(folder, { recursive: true, force: true });
    else console.error(folder);
  }

  return { routers, addRouter, startRouter, waitUntilReady, stopAll };
}
