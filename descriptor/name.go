// Package descriptor defines the configuration that operators declare:
// services, their request classes and latency targets, routes, tenants, limits on
// requests and the measurement budget. All values are immutable.
package descriptor

// ServiceName is the name of a service, unique within a deployment.
type ServiceName string

// ClassName is the name of a request class, unique within its service.
type ClassName string

// Revision is the version of a configuration: the store's modification revision
// of the deployment key. A larger revision replaces a smaller one.
type Revision int64
