/** Configuration document, leases and watches in the key-value service of the platform. */
export {};
