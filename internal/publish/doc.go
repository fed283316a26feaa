// Package publish publishes service files through the platform's store. The
// text of each file is an immutable object. One small index object names
// the files that are in force; it is replaced by a conditional update, so
// a publisher that crashes part way leaves the old revision in force.
//
// Before an index is replaced, it is copied to an object of KindHistory. So
// the history has no gaps, and a publisher that lost the response to its
// update can tell whether its revision was in force before a later one.
package publish
