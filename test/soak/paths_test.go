package soak

import "carobward.example/carobward/internal/cwstand"

// pathFaults are the ways in which an entry VM loses its paths to all servers.
var pathFaults = []cwstand.ProxyFault{cwstand.ProxyLosesAll, cwstand.ProxyLosesReplies, cwstand.ProxyResets, cwstand.ProxyRefusesNew}

// cutSome cuts the paths of one entry VM, of half of them or of all.
func (w *world) cutSome() {
	fault := pathFaults[w.random.IntN(len(pathFaults))]

	for _, i := range w.random.Perm(vms)[:[]int{1, vms / 2, vms}[w.random.IntN(3)]] {
		w.paths.Cut(w.VMs[i], fault)
	}
}
