// Package descriptor holds the values that operators declare: services,
// classes of work, their targets and the measuring budget. All values are
// immutable once made.
package descriptor

// ServiceName names a service, unique within a deployment.
type ServiceName string

// ClassName names a class of work, unique within its service.
type ClassName string

// Revision orders configurations: a larger revision replaces a smaller one.
// It is the store's modification revision of the deployment key.
type Revision int64
