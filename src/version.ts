/** The version of this release. A test compares it with package.json. */
export const VERSION = "0.1.0"
