// Package publish brings service files into force through the platform. The
// content of each file is an immutable object; one small index object names
// the contents that are in force, and is swung by a conditional update. A
// publisher that dies half way leaves the old revision in force.
//
// Before an index is replaced, it is kept under the history kind, so that the
// history has no gaps and a publisher whose answer was lost can tell whether
// its revision was in force for a while.
package publish
