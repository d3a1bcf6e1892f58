// Package cwbench compares ways to choose servers under load and faults.
//
// A model drives the decisions of several entry VMs, each with a table of
// its own and only its own knowledge, against modelled servers under a clock
// of its own: a discrete-event queueing model, the same for the same seed.
// Live runs drive entry VMs over sockets against stand-in servers.
//
// Arrivals are open-loop and latency counts from the intended start, so that
// a slow answer delays no later request and hides none.
package cwbench
