/** The key that all routers of a fleet share. */
import { readFileSync } from 'node:fs';

const HEX_KEY = /^([0-9a-f]{2}){16,}$/i;
/** Known to everybody: only for routers on one machine's loopback address, such as the demo. */
const LOOPBACK_KEY = Buffer.from('sequoiarill loopback routers');

export class SharedKeyError extends Error {
  override readonly name = 'SharedKeyError';
}

/** Takes the digits themselves or the name of a file that holds them. */
export function loadKey(setting: string | undefined): Buffer {
  if (setting === undefined) return LOOPBACK_KEY;
  const text = HEX_KEY.test(setting) ? setting : readKeyFile(setting);
  if (HEX_KEY.test(text)) return Buffer.from(text, 'hex');
  throw new SharedKeyError(
    'section [membership], key sharedKey: the file must hold 32 or more hexadecimal digits in pairs',
  );
}

/**
 * The setting itself stays out of the error: a mistyped key looks like the name of a file that is
 * missing, and start errors end in logs.
 */
function readKeyFile(file: string): string {
  try {
    return readFileSync(file, 'utf8').trim();
  } catch (error) {
    const { code = 'unreadable' } = error as NodeJS.ErrnoException;
    throw new SharedKeyError(
      `section [membership], key sharedKey: no pairs of hexadecimal digits, and no file of that name (${code})`,
    );
  }
}
