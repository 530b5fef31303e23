/** Determines which of two routers has the newer configuration, without comparing clocks. */
import type { Clock, ConfigurationAnnouncement } from '@sequoiarill/types';

/**
 * Returns a positive number if the left announcement is newer: by the fencing number of the reader,
 * then by its heartbeat, then by the revision.
 */
export function compareRecency(
  left: ConfigurationAnnouncement,
  right: ConfigurationAnnouncement,
): number {
  return (
    left.readerFence - right.readerFence ||
    left.readerBeat - right.readerBeat ||
    left.revision - right.revision
  );
}

export interface AnnouncementStore {
  readonly getAnnouncement: () => ConfigurationAnnouncement;
  /** Time since the last known confirmation by a zone reader. Infinite before the first one. */
  readonly getAgeMs: () => number;
  /** Merges the announcement of a peer. One that is not newer has no effect. */
  readonly mergeAnnouncement: (announcement: ConfigurationAnnouncement) => void;
  /** Records that this process, as zone reader, has every change up to the revision. */
  readonly confirmRevision: (fencingNumber: number, revision: number) => void;
  /** Records that this process has every change up to the revision, without being zone reader. */
  readonly updateRevision: (revision: number) => void;
}

export function createAnnouncementStore(clock: Clock, staleMs: number): AnnouncementStore {
  let announcement: ConfigurationAnnouncement = { readerFence: 0, readerBeat: 0, revision: 0 };
  let updatedMs = Number.NEGATIVE_INFINITY;

  function getAgeMs(): number {
    return clock.getNowMs() - updatedMs;
  }

  function setAnnouncement(readerFence: number, readerBeat: number, revision: number): void {
    announcement = { readerFence, readerBeat, revision: Math.max(announcement.revision, revision) };
    updatedMs = clock.getNowMs();
  }

  function updateRevision(revision: number): void {
    announcement = { ...announcement, revision: Math.max(announcement.revision, revision) };
  }

  return {
    getAnnouncement: () => announcement,
    getAgeMs,
    mergeAnnouncement(other) {
      if (compareRecency(other, announcement) <= 0) return;
      setAnnouncement(other.readerFence, other.readerBeat, other.revision);
    },
    confirmRevision(fencingNumber, revision) {
      if (fencingNumber >= announcement.readerFence) {
        const heartbeat =
          fencingNumber === announcement.readerFence ? announcement.readerBeat + 1 : 1;
        setAnnouncement(fencingNumber, heartbeat, revision);
      } else if (getAgeMs() >= staleMs) {
        // Failure: the reader with the higher fencing number has ended or is partitioned (or the
        // platform was restored and its revisions restarted), so all peers would ignore the
        // confirmations of this process as outdated. Exceeding that number is safe, because it only
        // orders announcements and guards no write.
        setAnnouncement(announcement.readerFence + 1, 1, revision);
      } else {
        updateRevision(revision);
      }
    },
    updateRevision,
  };
}
