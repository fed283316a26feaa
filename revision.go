package chervilladder

// Revision numbers the published configurations. It only rises: a rollback
// publishes the old content as a new revision.
type Revision uint64

// Version is the version that the platform assigns to an object with each
// change. Version zero means that the object doesn't exist.
type Version uint64
