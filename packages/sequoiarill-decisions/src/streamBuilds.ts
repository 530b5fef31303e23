/** Decides which targets may continue a stream that another target began. */
import type { ForwardingTarget, TargetBuild } from '@sequoiarill/types';

/**
 * Whether a target of one build may continue a stream of the other. A target whose version is not known
 * continues none.
 */
export function isSameBuild(left: TargetBuild, right: TargetBuild): boolean {
  return left.version !== '' && left.version === right.version && left.models === right.models;
}

/** The build of a target. The version of one that was found at the address of another is not known. */
export function getBuild({
  version,
  models,
  isVersionPresumed = false,
}: Pick<ForwardingTarget, 'version' | 'models' | 'isVersionPresumed'>): TargetBuild {
  return { version: isVersionPresumed ? '' : version, models };
}
