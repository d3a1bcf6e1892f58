package cwturn

import (
	"testing"
	"time"
)

// BenchmarkLine has the cost of one turn: a request joins eight that wait, is told
// whether to look, and a freed slot goes to the first.
func BenchmarkLine(b *testing.B) {
	const waiting = 8

	var l Line[*named]

	for i := range waiting {
		l.Join(&named{turn: turn(1, time.Duration(i)*time.Millisecond)})
	}

	one := &named{turn: turn(1, 0)}
	all := func(*named) bool { return true }

	b.ReportAllocs()

	for b.Loop() {
		l.Join(one)
		l.Looks(one, begin)
		l.First(begin, all)
		l.Leave(one)
	}
}
