package chervilladder

// Revision numbers the published configurations. It only rises: going back to
// an old content is publishing it as a new revision.
type Revision uint64

// Version is the version that the platform gives to an object with each
// change. Version zero means that the object does not exist.
type Version uint64
