package cwgateway

import (
	"fmt"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwreserve"
)

// quotaMetrics is the name of the group of metrics of the tokens that this entry VM grants as
// an owner.
const quotaMetrics = "quota"

// quotaStatus are the teams beyond their quotas as shown to operators, if this entry VM owns
// buckets of theirs.
type quotaStatus struct {
	Beyond []carobward.TeamName `json:"beyond"`
	// Reserved is the number of tokens reserved from the last class of requests.
	Reserved float64 `json:"reserved"`
	// Granted and Refused have, by class, this entry VM's answers to token requests of all
	// teams since its start.
	Granted [cwreserve.Classes]int64 `json:"granted"`
	Refused [cwreserve.Classes]int64 `json:"refused"`
}

// quotaStatus returns the teams beyond their quotas, or nil if there are none.
func (g *Gateway) quotaStatus() *quotaStatus {
	s := g.quota.Status(g.Clock.Now())
	if len(s.Beyond) == 0 {
		return nil
	}

	return &quotaStatus{Beyond: s.Beyond, Reserved: s.Reserved, Granted: s.Granted, Refused: s.Refused}
}

// registerQuotaGauges registers the metrics of the tokens that this entry VM grants.
func (g *Gateway) registerQuotaGauges() {
	gauge := func(name string, read func(s *cwquota.Status) int64) {
		g.metrics.Gauge(quotaMetrics, name, func() int64 {
			s := g.quota.Status(g.Clock.Now())

			return read(&s)
		})
	}

	gauge("beyond", func(s *cwquota.Status) int64 { return int64(len(s.Beyond)) })
	gauge("reserved", func(s *cwquota.Status) int64 { return int64(s.Reserved) })
	gauge("returned", func(s *cwquota.Status) int64 { return s.Returned })
	gauge("held", func(s *cwquota.Status) int64 { return s.Held })
	gauge("expired", func(s *cwquota.Status) int64 { return s.Expired })

	for c := range cwreserve.Classes {
		gauge(fmt.Sprint("granted", c), func(s *cwquota.Status) int64 { return s.Granted[c] })
		gauge(fmt.Sprint("refused", c), func(s *cwquota.Status) int64 { return s.Refused[c] })
	}
}
