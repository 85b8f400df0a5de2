// Package soaker is the randomised run of the program for the users' platform:
// instances as processes, stand-ins of the store and the workers behind
// fault-injecting proxies, callers that keep their connections, and checks of what
// callers and workers saw. It has test files only.
package soaker
