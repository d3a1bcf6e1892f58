// Package cwreserve decides which requests of a team get the tokens of its quota while the
// team asks for more than the quota allows. It has no side effects: time is passed in.
//
// It answers a load of several times a team's quota, where first come, first served would
// spend most tokens on the classes that ask most and on callers that were refused and came
// back too late. A bucket holds tokens back for the classes that go first, as many as they
// are likely to ask for next. Their share is free for others as soon as they stop asking,
// and each class whose answers are in time keeps a minimum share.
package cwreserve

import "carobward.example/carobward"

// Class is the order in which requests get tokens, the lowest first: requests whose answer
// can be in time by the rank of their route's priority, then late ones by the same.
type Class uint8

// Classes is the number of classes.
const Classes = 2 * carobward.LoadRanks

// ClassOf returns the class of a request. Ranks beyond the last one count for it.
func ClassOf(rank int, timely bool) Class {
	c := Class(min(max(rank, 0), carobward.LoadRanks-1))
	if !timely {
		c += carobward.LoadRanks
	}

	return c
}

// Late reports whether answers to requests of the class are late.
func (c Class) Late() bool { return c >= carobward.LoadRanks }
