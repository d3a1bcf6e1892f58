package cwgateway

import (
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
)

// TestRestartTakesAllTraffic checks that an entry VM that has just started, and has heard from no
// other one yet, counts those that the store lists: otherwise each of many would make the
// health checks of all.
func TestRestartTakesAllTraffic(t *testing.T) {
	const listed = 126

	now := time.Now()
	self := cwmesh.Node{ID: "vm-1", Domain: "a", Callers: "c", Peers: "p"}
	table := cwmesh.NewTable(self)
	table.AddListed([]cwmesh.Summary{{Domain: "a", Size: listed / 3}, {Domain: "b", Size: listed - listed/3}}, now)

	g := &Gateway{table: table, Options: Options{Clock: carobward.SystemClock{}}}
	if got := g.trafficShare(now); got > 1.0/listed {
		t.Errorf("a share of %.3f of all requests, want at most one of %d", got, listed)
	}
}
