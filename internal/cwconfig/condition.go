package cwconfig

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Condition is the state of the configuration on this entry VM.
type Condition struct {
	// Ready reports whether the configuration is in effect. A new entry VM
	// becomes ready after it has queried the store or several peers.
	Ready bool
	// Revision and Chain identify the effective configuration.
	Revision carobward.Revision
	Chain    Chain
	// Fresh is the latest time at which the effective revision is known to
	// have been the newest one accepted; zero if that was never known.
	Fresh time.Time
	// Alarm describes a problem that needs an operator; empty if there is none.
	Alarm string
}

// alarmSource is the origin of an alarm.
type alarmSource uint8

const (
	fromStore alarmSource = iota
	fromPeer
	numAlarmSources
)

// peerAlarmTTL is how long an alarm about a peer is kept after its cause was
// last seen. An alarm about the store is kept until the next successful read.
const peerAlarmTTL = 30 * time.Second

// conditionState holds what a Condition is made of besides the configuration.
type conditionState struct {
	mutex  sync.Mutex
	ready  bool
	fresh  time.Time
	alarms [numAlarmSources]alarm
}

type alarm struct {
	text string
	at   time.Time
}

// updateFresh records that every change accepted before until is in effect.
func (s *conditionState) updateFresh(until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if until.After(s.fresh) {
		s.fresh = until
	}
}

// raiseAlarm records an alarm and reports whether its text is new.
func (s *conditionState) raiseAlarm(from alarmSource, err error, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	before := s.alarms[from].text
	s.alarms[from] = alarm{text: err.Error(), at: now}

	return before != err.Error()
}

// clearAlarm removes the alarm of a source.
func (s *conditionState) clearAlarm(from alarmSource) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.alarms[from] = alarm{}
}

func (s *conditionState) setReady() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.ready = true
}

// condition returns the Condition at the time now.
func (s *conditionState) condition(config *Config, now time.Time) Condition {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	c := Condition{Ready: s.ready, Revision: config.Revision, Chain: config.Chain, Fresh: s.fresh}
	if a := s.alarms[fromPeer]; now.Sub(a.at) < peerAlarmTTL {
		c.Alarm = a.text
	}

	if a := s.alarms[fromStore]; a.text != "" {
		c.Alarm = a.text
	}

	return c
}

// needsOperator reports whether an error needs the attention of an operator.
func needsOperator(err error) bool {
	return isDiverged(err) || errors.Is(err, ErrStoreOutdated) || errors.Is(err, ErrUnreadable) || errors.Is(err, ErrSnapshotMismatch)
}
