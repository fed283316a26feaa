// Package chervilladder defines what all parts of the proxy share: the named
// types for ids and units, the interfaces behind which behaviour varies, and
// the error types. It imports no other package of this module.
//
// The packages below internal/ implement the interfaces. They share state only
// through the blackboard (internal/blackboard): controllers write its sections,
// and the path of a request reads them.
package chervilladder
