// Package platform speaks the platform's object API: HTTP with JSON, with a
// version on each object, conditional updates and long polls.
package platform
