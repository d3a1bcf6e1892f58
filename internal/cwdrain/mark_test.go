package cwdrain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwwire"
)

const server = carobward.Address("10.1.0.1:80")

// sim drives one table through simulated time.
type sim struct {
	table *Table
	now   time.Time
}

// wait advances the time by d, with ticks and with a read of the VM list each
// second.
func (s *sim) wait(d time.Duration, list []carobward.VM) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(maxTimeStep) {
		s.table.Tick(s.now)

		if s.now.UnixNano()%int64(time.Second) == 0 {
			s.table.ApplyList(s.now, list)
		}
	}

	s.table.Tick(s.now)
}

// reply makes the server announce with a reply whether it is draining.
func (s *sim) reply(run uint64, draining bool) {
	s.table.ApplyAnnouncements(s.now, []cwserver.Announcement{{Address: server, Run: run, Draining: draining}})
}

// check reports the result of a health check a number of times, one second apart.
func (s *sim) check(c CheckResult, times int) {
	for range times {
		s.wait(time.Second, listed)
		s.table.ApplyCheck(s.now.Add(-time.Millisecond), s.now, server, c)
	}
}

var (
	listed        = []carobward.VM{{Address: server, Service: "records"}, {Address: "10.1.0.2:80", Service: "records"}}
	unlisted      = listed[1:]
	listedLeaving = []carobward.VM{{Address: server, Service: "records", State: carobward.Leaving}, listed[1]}
)

// TestMarkLife verifies when marks begin and end: a late or misleading sign does
// not end a mark, and no mark stays forever.
func TestMarkLife(t *testing.T) {
	for name, test := range map[string]struct {
		run  func(s *sim)
		want cwserver.Level
	}{
		"announced":                           {func(s *sim) { s.reply(0, true) }, cwserver.Leaves},
		"late reply, same run":                {func(s *sim) { s.reply(7, true); s.reply(7, false) }, cwserver.Leaves},
		"late reply, unknown run":             {func(s *sim) { s.reply(0, true); s.reply(0, false) }, cwserver.Leaves},
		"reply of a new run":                  {func(s *sim) { s.reply(7, true); s.reply(8, false) }, cwserver.Stays},
		"late drain of the old run":           {func(s *sim) { s.reply(7, true); s.reply(8, false); s.reply(7, true) }, cwserver.Stays},
		"new run drains too":                  {func(s *sim) { s.reply(7, true); s.reply(8, true); s.reply(8, false) }, cwserver.Leaves},
		"announced, always healthy":           {func(s *sim) { s.reply(0, true); s.check(Healthy, 20) }, cwserver.Leaves},
		"announced, refused, healthy 3 times": {func(s *sim) { s.reply(0, true); s.check(Refused, 1); s.check(Healthy, 3) }, cwserver.Stays},
		"announced, refused, healthy twice":   {func(s *sim) { s.reply(0, true); s.check(Refused, 1); s.check(Healthy, 2) }, cwserver.Leaves},
		"announced, listed for 1h":            {func(s *sim) { s.reply(0, true); s.wait(time.Hour, listed) }, cwserver.Leaves},
		"announced, unlisted for 20s":         {func(s *sim) { s.reply(0, true); s.wait(20*time.Second, unlisted); s.wait(time.Minute, listed) }, cwserver.Leaves},
		"announced, unlisted for 32s":         {func(s *sim) { s.reply(0, true); s.wait(32*time.Second, unlisted); s.wait(time.Second, listed) }, cwserver.Stays},
		"announced, list is empty":            {func(s *sim) { s.reply(0, true); s.wait(time.Hour, nil) }, cwserver.Leaves},
		"health check":                        {func(s *sim) { s.check(Draining, 1) }, cwserver.MayLeave},
		"health check, healthy twice":         {func(s *sim) { s.check(Draining, 1); s.check(Healthy, 2) }, cwserver.MayLeave},
		"health check, healthy 3 times":       {func(s *sim) { s.check(Draining, 1); s.check(Healthy, 3) }, cwserver.Stays},
		"health check, healthy with gaps":     {func(s *sim) { s.check(Draining, 1); s.check(Healthy, 2); s.check(NoResult, 1); s.check(Healthy, 2) }, cwserver.MayLeave},
		"no answer or refused":                {func(s *sim) { s.check(NoResult, 5); s.check(Refused, 5) }, cwserver.Stays},
		"list":                                {func(s *sim) { s.table.ApplyList(s.now, listedLeaving) }, cwserver.Leaves},
		"list, live for 4m":                   {func(s *sim) { s.wait(time.Second, listedLeaving); s.wait(4*time.Minute, listed) }, cwserver.Leaves},
		"list, live for 5m":                   {func(s *sim) { s.wait(time.Second, listedLeaving); s.wait(5*time.Minute+time.Second, listed) }, cwserver.Stays},
		"list, renewed, live for 3m":          {func(s *sim) { s.wait(10*time.Minute, listedLeaving); s.wait(3*time.Minute, listed) }, cwserver.Leaves},
		"operator":                            {func(s *sim) { s.table.SetDrain(s.now, server, true); s.wait(time.Hour, listed) }, cwserver.Leaves},
		"operator, unlisted for 1m":           {func(s *sim) { s.table.SetDrain(s.now, server, true); s.wait(time.Minute, unlisted) }, cwserver.Leaves},
		"operator, unlisted for 6m":           {func(s *sim) { s.table.SetDrain(s.now, server, true); s.wait(6*time.Minute, unlisted) }, cwserver.Stays},
		"operator reverts the drain":          {func(s *sim) { s.table.SetDrain(s.now, server, true); s.table.SetDrain(s.now, server, false) }, cwserver.Stays},
		"operator reverts all":                {func(s *sim) { s.reply(7, true); s.check(Draining, 1); s.table.SetDrain(s.now, server, false) }, cwserver.Stays},
		"reverted, announced again":           {func(s *sim) { s.reply(0, true); s.table.SetDrain(s.now, server, false); s.reply(0, true) }, cwserver.Leaves},
		"unlisted during a pause": {func(s *sim) {
			s.reply(0, true)
			s.table.ApplyList(s.now, unlisted)
			s.now = s.now.Add(time.Hour)
			s.table.Tick(s.now)
		}, cwserver.Leaves},
		"late drain after a minute": {func(s *sim) { s.reply(7, true); s.reply(8, false); s.wait(time.Minute, listed); s.reply(7, true) }, cwserver.Stays},
	} {
		t.Run(name, func(t *testing.T) {
			s := &sim{table: NewTable(), now: time.Unix(1_700_000_000, 0)}
			s.table.Tick(s.now)
			test.run(s)

			levels := s.table.Levels()
			if diff := cmp.Diff(test.want, levels[server]); diff != "" {
				t.Errorf("marks %+v; level (-want +got):\n%s", s.table.Marks(), diff)
			}
		})
	}
}

// TestForget verifies that ended marks are deleted in the end, and that invalid
// marks of a peer are ignored.
func TestForget(t *testing.T) {
	s := &sim{table: NewTable(), now: time.Unix(1_700_000_000, 0)}
	s.reply(0, true)
	s.wait(time.Minute, unlisted)
	s.wait(endedMarkTTL+time.Second, unlisted)

	invalid := []Mark{{Source: Announced, On: true}, {Address: server, Source: numSources}, {Address: server, On: true, Time: 1 << 63}}
	for _, m := range invalid {
		s.table.merge(s.now, []*cwwire.Mark{m.wire()})
	}

	if diff := cmp.Diff([]Mark(nil), s.table.Marks()); diff != "" {
		t.Error(diff)
	}
}

// TestAfterPause verifies which answers of peers end the time after a pause in
// which no requests are sent to servers.
func TestAfterPause(t *testing.T) {
	compare := (&Table{}).digestMessage()

	for name, test := range map[string]struct {
		sent, answer *cwwire.News
		after        time.Duration
		want         bool
	}{
		"no answer yet":         {nil, nil, 0, false},
		"no answer for long":    {nil, nil, maxWithheld, true},
		"fresh peer":            {compare, &cwwire.News{Fresh: true}, 0, true},
		"paused peer":           {compare, &cwwire.News{}, 0, false},
		"fresh, but no digests": {&cwwire.News{}, &cwwire.News{Fresh: true}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(4_000_000_000, 0)
			s := NewGossip(NewTable(), rand.New(rand.NewPCG(1, 1)))
			s.Plan(now, []carobward.Address{"a"})

			if test.sent != nil {
				s.Answered(now, test.sent, test.answer)
			}

			if got := s.Fresh(now.Add(test.after)); got != test.want {
				t.Errorf("fresh: %v, want %v", got, test.want)
			}
		})
	}
}

// TestResend verifies that messages without an answer don't count towards the
// number of peers that a mark is sent to.
func TestResend(t *testing.T) {
	now := time.Unix(4_000_000_000, 0)
	table := NewTable()
	table.SetDrain(now, server, true)

	sent := 0

	for news := table.takePending(); news != nil && sent < 2*minFanout; news = table.takePending() {
		sent++

		if sent <= 3 {
			table.requeue(news.GetMarks())
		}
	}

	if diff := cmp.Diff(minFanout+3, sent); diff != "" {
		t.Error(diff)
	}
}
