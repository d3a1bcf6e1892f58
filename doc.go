// Package carobward holds the domain types of the load balancer: types for ids and units,
// the entities (targets, servers, VMs), the verdict that every failure carries, and the
// interfaces to the outside: the clock, the platform's store and VM list, the servers and
// the peers.
//
// Their implementations are in the packages under internal/. Packages that other programs
// may import are under pkg/.
package carobward
