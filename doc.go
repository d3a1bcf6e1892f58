// Package carobward holds the domain of the load balancer: the named types
// for ids and units, the entities (targets, servers, VMs), the verdict that
// every failure carries, and the interfaces of everything that varies: the
// clock, the platform's store and VM list, the servers and the peers.
//
// Implementations live below it, one package a noun, under internal/. What
// other programs may import lives under pkg/.
package carobward
