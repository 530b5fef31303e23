/** Command line and router daemon of sequoiarill. */
export {};
