// Package cwreserve implements a token bucket that grants tokens by class of request while a
// team requests more than its quota allows. It has no side effects: time is passed in.
//
// Under a load of several times the quota, granting tokens in order of arrival would spend
// most of them on the classes with the most requests and on retries that arrive too late for
// a timely answer. So a bucket reserves tokens for the more urgent classes, as many as they
// are likely to request next. The reservation ends once those classes stop requesting tokens,
// and each class whose answers can be in time has a minimum share.
package cwreserve

import "carobward.example/carobward"

// Class is the place of a request in the order in which requests get tokens, the lowest
// first: requests whose answer can be in time, by the rank of their route's priority, then
// late requests, also by rank.
type Class uint8

// Classes is the number of classes.
const Classes = 2 * carobward.LoadRanks

// ClassOf returns the class of a request, given the rank of its route's priority and whether
// its answer can be in time. Ranks from LoadRanks on count as the last rank.
func ClassOf(rank int, timely bool) Class {
	c := Class(min(max(rank, 0), carobward.LoadRanks-1))
	if !timely {
		c += carobward.LoadRanks
	}

	return c
}

// Late reports whether answers to requests of the class are late.
func (c Class) Late() bool { return c >= carobward.LoadRanks }
