// Package ctl holds the commands of chervilladderctl, one a file. A command
// gathers a result, which is then written as text or as JSON.
package ctl
