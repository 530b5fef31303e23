/** Loads the key that all routers of a fleet share. */
import { readFileSync } from 'node:fs';

const HEX_KEY_PATTERN = /^([0-9a-f]{2}){16,}$/i;
/** Public, so it is used only for routers that listen on a loopback address, such as the demo. */
const LOOPBACK_KEY = Buffer.from('sequoiarill loopback routers');

export class SharedKeyError extends Error {
  override readonly name = 'SharedKeyError';
}

/** Accepts the digits themselves or the path of a file that contains them. */
export function loadKey(setting: string | undefined): Buffer {
  if (setting === undefined) return LOOPBACK_KEY;
  const text = HEX_KEY_PATTERN.test(setting) ? setting : readKeyFile(setting);
  if (HEX_KEY_PATTERN.test(text)) return Buffer.from(text, 'hex');
  throw new SharedKeyError(
    'section [membership], key sharedKey: the file must contain 32 or more hexadecimal digits in pairs',
  );
}

/**
 * The error does not include the setting: a mistyped key is treated as the path of a missing file,
 * and start errors are written to logs.
 */
function readKeyFile(file: string): string {
  try {
    return readFileSync(file, 'utf8').trim();
  } catch (error) {
    const { code = 'unreadable' } = error as NodeJS.ErrnoException;
    throw new SharedKeyError(
      `section [membership], key sharedKey: the value is neither 32 or more hexadecimal digits in pairs nor a readable file (${code})`,
    );
  }
}
