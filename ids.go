package carobward

// VMID names an entry VM. It comes from the VM's settings and survives a
// replacement on the same address; the incarnation tells the two apart.
type VMID string

// Incarnation tells one run of an entry VM from the next. It is the start
// time in nanoseconds since the Unix epoch, so that a later run is higher.
type Incarnation uint64

// Service names a group of servers that do the same work.
type Service string

// Domain names a failure domain.
type Domain string

// Region names a region: failure domains that are near each other.
type Region string

// Address is an IP number and a port, such as 127.0.0.1:8080.
type Address string

// TargetName names a target. Operators choose it.
type TargetName string

// ChangeID names one change of the configuration. The writer draws it at
// random, so that it can find out later whether its change was accepted.
type ChangeID string

// RequestID names one request of a caller.
type RequestID string

// Revision numbers the accepted configurations, from 1 upwards.
type Revision uint64

// StoreEra counts the states that the store came back with, from 1 on: where it was
// brought back from a copy, indexes of the era before are given out again. Zero: the
// store names none.
type StoreEra uint64

// StoreIndex is the store's own counter of one key. Zero means that the key
// does not exist.
type StoreIndex uint64

// Instance names one run of a server; a restart has another one.
type Instance string

// Start tells one process of a server from the next under the same Instance: the time
// of its start in milliseconds since the Unix epoch, by its own clock. Zero: the list
// does not say.
type Start int64

// Version numbers the operators' configurations on the platform. It rises, in
// uneven steps.
type Version uint64

// RouteName names a route of the operators' configuration.
type RouteName string
