// Package cwbench compares server selection strategies under load and faults.
//
// Most runs are discrete-event simulations: several simulated entry VMs, each with
// its own table and only the state it can observe, send calls to simulated servers
// on a simulated clock. A run with the same seed always gives the same result. Live
// runs drive real entry VMs and stand-in servers over sockets.
//
// Arrivals are open-loop and latency counts from the intended start, so a slow
// reply neither delays later requests nor hides their latency.
package cwbench
