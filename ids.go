package carobward

// VMID identifies an entry VM. It comes from the VM's settings and stays the same if the VM
// is replaced at the same address; the two differ in their incarnations.
type VMID string

// Incarnation identifies one run of an entry VM. It is the start time in nanoseconds since
// the Unix epoch, so that a later run has a higher one.
type Incarnation uint64

// Service is the name of a group of servers that do the same work.
type Service string

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a region: a group of failure domains that are near each other.
type Region string

// Address is an IP address and a port, such as 127.0.0.1:8080.
type Address string

// TargetName is the name that operators gave a target.
type TargetName string

// ChangeID identifies a change of the configuration. The writer draws it at random, so that
// it can find out later whether its change was accepted.
type ChangeID string

// RequestID identifies a caller's request.
type RequestID string

// Revision is the number of an accepted configuration, from 1 upwards.
type Revision uint64

// StoreEra counts how often the store was restored from a backup, starting at 1. A restored
// store reuses the indexes that it assigned after the backup was made. Zero: the store
// reports no era.
type StoreEra uint64

// StoreIndex is the store's change counter of a key. Zero means that the key does not
// exist.
type StoreIndex uint64

// Instance identifies one run of a server; a restarted server has another one.
type Instance string

// Start distinguishes processes of a server that have the same Instance: the start time in
// milliseconds since the Unix epoch, by the server's clock. Zero: the server list has no
// start time.
type Start int64

// Version is the number of an operators' configuration on the platform. Numbers rise but
// are not consecutive.
type Version uint64

// RouteName is the name of a route in the operators' configuration.
type RouteName string
