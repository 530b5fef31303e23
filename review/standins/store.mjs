/** A small stand-in of the platform's store: keys, watches, transactions and leases, as on the page of the protocol. */
/* eslint-disable import-x/prefer-default-export -- exports have names here */
import http from 'node:http';

const PAGE_ENTRIES = 500;

export function createStore() {
  const items = new Map();
  const history = [];
  const leases = new Map();
  const watchers = new Set();
  let revision = 1;
  let nextLease = 1_000;

  function writeItem(key, data, lease = 0) {
    revision += 1;
    if (data === undefined) {
      if (items.delete(key)) history.push({ key, revision, deleted: true });
      return;
    }
    const created = items.get(key)?.created ?? revision;
    const item = { key, data, revision, created, lease };
    items.set(key, item);
    history.push(item);
  }

  function wakeWatchers() {
    [...watchers].forEach((wake) => wake());
  }

  function endLease(id) {
    clearTimeout(leases.get(id)?.timer);
    if (!leases.delete(id)) return;
    [...items.values()]
      .filter(({ lease }) => lease === id)
      .forEach(({ key }) => writeItem(key, undefined));
    wakeWatchers();
  }

  function startLease(id, ttlMs) {
    clearTimeout(leases.get(id)?.timer);
    leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) });
  }

  function runTransaction({ expectedRevision = [], puts = [], remove = [] }) {
    const isMet = expectedRevision.every(
      (one) => (items.get(one.key)?.revision ?? 0) === one.revision,
    );
    if (!isMet) {
      const entries = expectedRevision.map(({ key }) => items.get(key) ?? { key });
      return [412, { entries }];
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return [404, {}];
    puts.forEach(({ key, data, lease }) => writeItem(key, data, lease));
    remove.forEach((key) => writeItem(key, undefined));
    wakeWatchers();
    return [200, { revision }];
  }

  async function runWatch(query, response) {
    const after = Number(query.get('after'));
    const prefix = query.get('prefix') ?? '';
    const listEvents = () =>
      history.filter((change) => change.revision > after && change.key.startsWith(prefix));
    if (listEvents().length === 0) {
      await new Promise((resolve) => {
        function end() {
          watchers.delete(end);
          resolve();
        }
        watchers.add(end);
        setTimeout(end, Number(query.get('waitMs') ?? 0));
        response.once('close', end);
      });
    }
    return [200, { events: listEvents(), currentRev: revision }];
  }

  async function runCall(method, url, body, response) {
    const query = url.searchParams;
    const name = url.pathname;
    if (name === '/kv-key') {
      const item = items.get(query.get('key') ?? '');
      return item === undefined ? [404, {}] : [200, { ...item, currentRev: revision }];
    }
    if (name === '/kv-range') {
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(query.get('prefix') ?? ''))
        .filter(({ key }) => key > (query.get('after') ?? ''))
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      const entries = found.slice(0, PAGE_ENTRIES);
      return [200, { entries, hasMore: found.length > entries.length, currentRev: revision }];
    }
    if (name === '/kv-watch') return runWatch(query, response);
    if (name === '/kv-txn') return runTransaction(JSON.parse(body));
    if (name === '/kv-lease') {
      nextLease += 1;
      const { ttlMs } = JSON.parse(body);
      startLease(nextLease, ttlMs);
      return [200, { lease: nextLease, ttlMs }];
    }
    const id = Number(name.slice(name.lastIndexOf('/') + 1));
    if (method === 'DELETE') {
      endLease(id);
      return [200, {}];
    }
    const lease = leases.get(id);
    if (lease === undefined) return [404, {}];
    startLease(id, lease.ttlMs);
    return [200, { lease: id, ttlMs: lease.ttlMs }];
  }

  const server = http.createServer((request, response) => {
    const parts = [];
    request.on('data', (part) => parts.push(part));
    request.on('end', async () => {
      const url = new URL(request.url, 'http://store');
      const body = Buffer.concat(parts).toString('utf8');
      const [status, answer] = await runCall(request.method, url, body, response);
      if (response.destroyed) return;
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(answer));
    });
  });

  return {
    async start() {
      await new Promise((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      return `127.0.0.1:${server.address().port}`;
    },
    stop() {
      server.closeAllConnections();
      server.close();
      leases.forEach(({ timer }) => clearTimeout(timer));
    },
    write(key, value) {
      const data = Buffer.from(JSON.stringify(value)).toString('base64');
      runTransaction({ puts: [{ key, data }] });
      return revision;
    },
    remove: (key) => runTransaction({ remove: [key] }),
    listKeys: () => [...items.keys()],
  };
}
