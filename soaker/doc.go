// Package soaker is the randomised soak test of burdocklane-instance, the program
// for the users' platform. Instances run as processes, emulators of the store and
// of the workers run behind fault-injecting proxies, callers keep their
// connections, and the test compares what callers observed with what workers ran.
// It has test files only.
package soaker
