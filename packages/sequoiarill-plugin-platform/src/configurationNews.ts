/** Which of two routers knows the fresher configuration, without comparing any clocks. */
import type { Clock, ConfigurationAnnouncement } from '@sequoiarill/types';

/** Positive when the left one is fresher: the later reader first, then its later confirmation. */
export function compareNews(
  left: ConfigurationAnnouncement,
  right: ConfigurationAnnouncement,
): number {
  return (
    left.readerFence - right.readerFence ||
    left.readerBeat - right.readerBeat ||
    left.revision - right.revision
  );
}

export interface NewsKeeper {
  readonly getAnnouncement: () => ConfigurationAnnouncement;
  /** Since a reader was last known to have confirmed the configuration; infinite before that. */
  readonly getAgeMs: () => number;
  /** Takes in news of a peer; older ones change nothing. */
  readonly mergeNews: (news: ConfigurationAnnouncement) => void;
  /** This process confirmed by itself that it knows every change up to the revision. */
  readonly confirmNews: (fence: number, revision: number) => void;
  /** Knows every change up to the revision, without being the reader. */
  readonly updateRevision: (revision: number) => void;
}

export function createAnnouncementStore(clock: Clock, staleMs: number): NewsKeeper {
  let news: ConfigurationAnnouncement = { readerFence: 0, readerBeat: 0, revision: 0 };
  let raisedMs = Number.NEGATIVE_INFINITY;

  function getAgeMs(): number {
    return clock.getNowMs() - raisedMs;
  }

  function setNews(readerFence: number, readerBeat: number, revision: number): void {
    news = { readerFence, readerBeat, revision: Math.max(news.revision, revision) };
    raisedMs = clock.getNowMs();
  }

  function updateRevision(revision: number): void {
    news = { ...news, revision: Math.max(news.revision, revision) };
  }

  return {
    getAnnouncement: () => news,
    getAgeMs,
    mergeNews(other) {
      if (compareNews(other, news) <= 0) return;
      setNews(other.readerFence, other.readerBeat, other.revision);
    },
    confirmNews(fence, revision) {
      if (fence >= news.readerFence) {
        const beat = fence === news.readerFence ? news.readerBeat + 1 : 1;
        setNews(fence, beat, revision);
      } else if (getAgeMs() >= staleMs) {
        // Failure: the reader with the higher fence is gone or cut off (or the platform was restored
        // and its numbers began anew), and our confirmations would be taken for old ones by all
        // peers. Going one above its fence is safe: the number orders news and guards no write.
        setNews(news.readerFence + 1, 1, revision);
      } else {
        updateRevision(revision);
      }
    },
    updateRevision,
  };
}
