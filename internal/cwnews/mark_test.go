package cwnews

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwwire"
)

const leaver = carobward.Address("10.1.0.1:80")

// life drives one table through time.
type life struct {
	table *Table
	now   time.Time
}

// wait ticks for some time, in which the list is read each second.
func (l *life) wait(d time.Duration, list []carobward.VM) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(stepMost) {
		l.table.Tick(l.now)

		if l.now.UnixNano()%int64(time.Second) == 0 {
			l.table.Listed(l.now, list)
		}
	}

	l.table.Tick(l.now)
}

func (l *life) word(run uint64, draining bool) {
	l.table.Words(l.now, []cwserver.Word{{Address: leaver, Run: run, Draining: draining}})
}

func (l *life) check(c Check, times int) {
	for range times {
		l.wait(time.Second, shown)
		l.table.Checked(l.now.Add(-time.Millisecond), l.now, leaver, c)
	}
}

var (
	shown   = []carobward.VM{{Address: leaver, Service: "records"}, {Address: "10.1.0.2:80", Service: "records"}}
	dropped = shown[1:]
	leaving = []carobward.VM{{Address: leaver, Service: "records", State: carobward.Leaving}, shown[1]}
)

// TestMarkLife has the beginnings and ends of marks: none ends by a late or
// misleading sign, and none stays for ever.
func TestMarkLife(t *testing.T) {
	for name, test := range map[string]struct {
		run  func(l *life)
		want cwserver.Level
	}{
		"word":                        {func(l *life) { l.word(0, true) }, cwserver.Leaves},
		"a late word from before":     {func(l *life) { l.word(7, true); l.word(7, false) }, cwserver.Leaves},
		"a late word without a run":   {func(l *life) { l.word(0, true); l.word(0, false) }, cwserver.Leaves},
		"a new run's word":            {func(l *life) { l.word(7, true); l.word(8, false) }, cwserver.Stays},
		"an old run's late drain":     {func(l *life) { l.word(7, true); l.word(8, false); l.word(7, true) }, cwserver.Stays},
		"the new run drains too":      {func(l *life) { l.word(7, true); l.word(8, true); l.word(8, false) }, cwserver.Leaves},
		"word, health says fine":      {func(l *life) { l.word(0, true); l.check(Fine, 20) }, cwserver.Leaves},
		"word, refused, then fine":    {func(l *life) { l.word(0, true); l.check(Refused, 1); l.check(Fine, 3) }, cwserver.Stays},
		"word, refused, then twice":   {func(l *life) { l.word(0, true); l.check(Refused, 1); l.check(Fine, 2) }, cwserver.Leaves},
		"word, on the list for a day": {func(l *life) { l.word(0, true); l.wait(time.Hour, shown) }, cwserver.Leaves},
		"word, gone for a moment":     {func(l *life) { l.word(0, true); l.wait(20*time.Second, dropped); l.wait(time.Minute, shown) }, cwserver.Leaves},
		"word, gone, a new one there": {func(l *life) { l.word(0, true); l.wait(32*time.Second, dropped); l.wait(time.Second, shown) }, cwserver.Stays},
		"word, the list is empty":     {func(l *life) { l.word(0, true); l.wait(time.Hour, nil) }, cwserver.Leaves},
		"health":                      {func(l *life) { l.check(Draining, 1) }, cwserver.MayLeave},
		"health, fine twice":          {func(l *life) { l.check(Draining, 1); l.check(Fine, 2) }, cwserver.MayLeave},
		"health, fine again":          {func(l *life) { l.check(Draining, 1); l.check(Fine, 3) }, cwserver.Stays},
		"health, fine with gaps":      {func(l *life) { l.check(Draining, 1); l.check(Fine, 2); l.check(Silent, 1); l.check(Fine, 2) }, cwserver.MayLeave},
		"silence":                     {func(l *life) { l.check(Silent, 5); l.check(Refused, 5) }, cwserver.Stays},
		"list":                        {func(l *life) { l.table.Listed(l.now, leaving) }, cwserver.Leaves},
		"list flaps":                  {func(l *life) { l.wait(time.Second, leaving); l.wait(4*time.Minute, shown) }, cwserver.Leaves},
		"list takes it back":          {func(l *life) { l.wait(time.Second, leaving); l.wait(5*time.Minute+time.Second, shown) }, cwserver.Stays},
		"list, seen by others still":  {func(l *life) { l.wait(10*time.Minute, leaving); l.wait(3*time.Minute, shown) }, cwserver.Leaves},
		"operator":                    {func(l *life) { l.table.Operator(l.now, leaver, true); l.wait(time.Hour, shown) }, cwserver.Leaves},
		"operator, gone for a minute": {func(l *life) { l.table.Operator(l.now, leaver, true); l.wait(time.Minute, dropped) }, cwserver.Leaves},
		"operator, gone for long":     {func(l *life) { l.table.Operator(l.now, leaver, true); l.wait(6*time.Minute, dropped) }, cwserver.Stays},
		"operator undoes":             {func(l *life) { l.table.Operator(l.now, leaver, true); l.table.Operator(l.now, leaver, false) }, cwserver.Stays},
		"operator undoes all":         {func(l *life) { l.word(7, true); l.check(Draining, 1); l.table.Operator(l.now, leaver, false) }, cwserver.Stays},
		"undone, then it drains":      {func(l *life) { l.word(0, true); l.table.Operator(l.now, leaver, false); l.word(0, true) }, cwserver.Leaves},
		"gone while we were paused": {func(l *life) {
			l.word(0, true)
			l.table.Listed(l.now, dropped)
			l.now = l.now.Add(time.Hour)
			l.table.Tick(l.now)
		}, cwserver.Leaves},
		"an end is not forgotten soon": {func(l *life) { l.word(7, true); l.word(8, false); l.wait(time.Minute, shown); l.word(7, true) }, cwserver.Stays},
	} {
		t.Run(name, func(t *testing.T) {
			l := &life{table: NewTable(), now: time.Unix(1_700_000_000, 0)}
			l.table.Tick(l.now)
			test.run(l)

			levels := l.table.Levels()
			if diff := cmp.Diff(test.want, levels[leaver]); diff != "" {
				t.Errorf("marks %+v\n%s", l.table.Marks(), diff)
			}
		})
	}
}

// TestForget shows that the table does not grow for ever, and takes no
// nonsense from a peer.
func TestForget(t *testing.T) {
	l := &life{table: NewTable(), now: time.Unix(1_700_000_000, 0)}
	l.word(0, true)
	l.wait(time.Minute, dropped)
	l.wait(endedKeep+time.Second, dropped)

	bad := []Mark{{Source: Word, On: true}, {Address: leaver, Source: sources}, {Address: leaver, On: true, Time: 1 << 63}}
	for _, m := range bad {
		l.table.take(l.now, []*cwwire.Mark{m.wire()})
	}

	if diff := cmp.Diff([]Mark(nil), l.table.Marks()); diff != "" {
		t.Error(diff)
	}
}

// TestAfterPause shows which answers end the wait for the news.
func TestAfterPause(t *testing.T) {
	compare := (&Table{}).compare()

	for name, test := range map[string]struct {
		sent, answer *cwwire.News
		after        time.Duration
		want         bool
	}{
		"no answer yet":           {nil, nil, 0, false},
		"no answer for long":      {nil, nil, deafMost, true},
		"a fresh peer's":          {compare, &cwwire.News{Fresh: true}, 0, true},
		"one of a paused peer":    {compare, &cwwire.News{}, 0, false},
		"to marks we told, fresh": {&cwwire.News{}, &cwwire.News{Fresh: true}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(4_000_000_000, 0)
			s := NewSpread(NewTable(), rand.New(rand.NewPCG(1, 1)))
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

// TestToldAgain shows that a mark is told to so many peers that answered.
func TestToldAgain(t *testing.T) {
	now := time.Unix(4_000_000_000, 0)
	table := NewTable()
	table.Operator(now, leaver, true)

	told := 0

	for news := table.hot(); news != nil && told < 2*spreadLeast; news = table.hot() {
		told++

		if told <= 3 {
			table.again(news.GetMarks())
		}
	}

	if diff := cmp.Diff(spreadLeast+3, told); diff != "" {
		t.Error(diff)
	}
}
