/** A small stand-in of a client: sends one request at a time on its channel and reads the answer. */
import net from 'node:net';

export function formatRequest({
  method = 'POST',
  path,
  id,
  key,
  limitMs,
  headers = {},
  body = '',
}) {
  const fields = {
    Host: 'shop.example',
    'Request-Id': id,
    'Deadline-Ms': limitMs,
    Credential: key,
    ...headers,
    'Content-Length': Buffer.byteLength(body),
  };
  const head = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${head.join('')}\r\n`;
}

/** Whether the text holds a whole answer: one with a length, or one in chunks. */
function isWhole(text) {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return false;
  const head = text.slice(0, end);
  if (/transfer-encoding: chunked/i.test(head)) return text.endsWith('\r\n0\r\n\r\n');
  const length = /content-length: (\d+)/i.exec(head);
  return length !== null && text.length >= end + 4 + Number(length[1]);
}

/** A channel to a router; `ask` resolves to the status and text of the answer, or to status `closed` without one. */
export function openChannel(address) {
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  socket.setNoDelay(true);
  let text = '';
  let finish;
  let isClosed = false;
  socket.on('error', () => undefined);
  socket.on('data', (data) => {
    text += data.toString('latin1');
    if (isWhole(text)) finish?.({ status: text.slice(9, 12), text });
  });
  socket.on('close', () => {
    isClosed = true;
    finish?.({ status: 'closed', text });
  });
  return {
    isClosed: () => isClosed,
    async ask(request) {
      text = '';
      const answer = new Promise((resolve) => {
        finish = resolve;
      });
      if (isClosed) return { status: 'closed', text };
      socket.write(formatRequest(request));
      if (request.body !== undefined) socket.write(request.body);
      const result = await answer;
      finish = undefined;
      return result;
    },
    close: () => socket.destroy(),
  };
}
