/** Imports all plug-ins of a router; each registers itself with the kernel on import. */
import '@sequoiarill/plugin-callers';
import '@sequoiarill/plugin-generations';
import '@sequoiarill/plugin-membership';
import '@sequoiarill/plugin-operators';
import '@sequoiarill/plugin-orders';
import '@sequoiarill/plugin-platform';
