/** Makes a stand-in fall silent, like a stopped process or a machine that has lost power. */
import type { StandinServer } from './server';
import type { RunTimers } from './timers';

export interface Silence {
  /**
   * Falls silent or goes on, like a process that is stopped and continued. Meanwhile connections stay
   * open and new ones are accepted, nothing is read or answered, and runs stand still. What has
   * arrived by then, the end of a connection included, is read afterwards.
   */
  readonly setSilent: (isSilent: boolean) => void;
  /**
   * Falls silent for good, with all connections open. `releasesPort`: new connections are no longer
   * accepted; the port can be taken by something that doesn't respond to attempts to connect.
   */
  readonly stopSilently: (releasesPort?: boolean) => void;
}

export interface ControlledSilence extends Silence {
  readonly isForGood: () => boolean;
  /** Ends a silence for good; for a stand-in that has closed its connections. */
  readonly stop: () => void;
}

export function createSilence(server: StandinServer, timers: RunTimers): ControlledSilence {
  let isForGood = false;

  function setSilent(next: boolean): void {
    const isSilent = next || isForGood;
    server.setSilent(isSilent);
    if (isSilent) timers.stop();
    else timers.resume();
  }

  return {
    setSilent,
    stopSilently(releasesPort = false) {
      isForGood = true;
      setSilent(true);
      if (releasesPort) server.stopListening();
    },
    isForGood: () => isForGood,
    stop() {
      isForGood = false;
      setSilent(false);
    },
  };
}
