// Package ctl implements the commands of chervilladderctl, one per file. A
// command returns a result, which is written as text or as JSON.
package ctl
