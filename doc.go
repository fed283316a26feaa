// Package chervilladder holds what every part of the proxy agrees on: the
// named types of ids and units, the interfaces behind which behaviour varies,
// and the error types. It imports nothing else of this module.
//
// The packages below internal/ implement the interfaces. They meet only on
// the blackboard (internal/blackboard): controllers write its sections, the
// path of a request reads them.
package chervilladder
