/** The target that a caller names in the first line of its request. */
import type { IncomingMessage } from 'node:http';

/** A request that moleculer-web has routed: it shortens `url` and keeps the target in `originalUrl`. */
export interface RoutedRequest extends IncomingMessage {
  readonly originalUrl?: string;
}

/** Path and query, byte for byte as the caller sent them. */
export function getRequestTarget({
  originalUrl,
  url,
}: Pick<RoutedRequest, 'originalUrl' | 'url'>): string {
  return originalUrl ?? url ?? '/';
}
