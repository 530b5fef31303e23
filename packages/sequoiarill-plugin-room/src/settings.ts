/** Section `[room]`. */
import * as Zod from 'zod';

export const settingsSchema = Zod.strictObject({
  /**
   * Whether who gets room is decided for services with engines: `auto` where the configuration or the
   * environment calls for it, `on` for all of them, `off` for none.
   */
  mode: Zod.enum(['auto', 'on', 'off']).default('auto'),
});

export type RoomSettings = Readonly<Zod.infer<typeof settingsSchema>>;
