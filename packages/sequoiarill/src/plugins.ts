/** Imports every plug-in of a router, each of which registers itself with the kernel. */
import '@sequoiarill/plugin-callers';
import '@sequoiarill/plugin-generations';
import '@sequoiarill/plugin-membership';
import '@sequoiarill/plugin-operators';
import '@sequoiarill/plugin-orders';
import '@sequoiarill/plugin-platform';
