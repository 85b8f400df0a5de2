// Package flooder is the test of callers that misbehave: crowds of connections that hold
// on to what they take. It starts the system's own programs with lowered limits, and
// checks that the process lives, that its memory and its sockets stay within the limits,
// and that an ordinary request is still answered. It has test files only, and is run apart
// from other load.
package flooder
