package cwconfig

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Condition is what an entry VM knows of its own configuration.
type Condition struct {
	// Ready tells that the configuration is in force; a newcomer is not
	// until it has asked the store or several peers.
	Ready bool
	// Revision and Chain name the configuration in force.
	Revision carobward.Revision
	Chain    Chain
	// Fresh is the latest time of which it is known that no higher revision
	// had been accepted by then; zero for never.
	Fresh time.Time
	// Alarm says what is wrong; empty for nothing.
	Alarm string
}

// source is where an alarm comes from.
type source uint8

const (
	fromStore source = iota
	fromPeer
	sources
)

// alarmKeep is how long an alarm about a peer stands after it was last seen.
// One about the store stands until the store is read well again.
const alarmKeep = 30 * time.Second

// vitals holds the parts of a Condition that change.
type vitals struct {
	mutex  sync.Mutex
	ready  bool
	fresh  time.Time
	alarms [sources]alarm
}

type alarm struct {
	text string
	at   time.Time
}

// freshen notes that all accepted until then is in force.
func (v *vitals) freshen(until time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()

	if until.After(v.fresh) {
		v.fresh = until
	}
}

// raise notes an alarm. It tells whether it is a new one.
func (v *vitals) raise(from source, err error, now time.Time) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()

	before := v.alarms[from].text
	v.alarms[from] = alarm{text: err.Error(), at: now}

	return before != err.Error()
}

// clear ends the alarm from a source.
func (v *vitals) clear(from source) {
	v.mutex.Lock()
	defer v.mutex.Unlock()

	v.alarms[from] = alarm{}
}

func (v *vitals) setReady() {
	v.mutex.Lock()
	defer v.mutex.Unlock()

	v.ready = true
}

// condition returns the Condition at a time.
func (v *vitals) condition(config *Config, now time.Time) Condition {
	v.mutex.Lock()
	defer v.mutex.Unlock()

	c := Condition{Ready: v.ready, Revision: config.Revision, Chain: config.Chain, Fresh: v.fresh}
	if a := v.alarms[fromPeer]; now.Sub(a.at) < alarmKeep {
		c.Alarm = a.text
	}

	if a := v.alarms[fromStore]; a.text != "" {
		c.Alarm = a.text
	}

	return c
}

// alarming tells whether an error calls for an operator.
func alarming(err error) bool {
	return diverged(err) || errors.Is(err, ErrOlder) || errors.Is(err, ErrUnreadable) || errors.Is(err, ErrParts)
}
