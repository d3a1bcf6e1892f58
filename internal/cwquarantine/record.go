package cwquarantine

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// The keys of the store: one a crash, named by the request and the server, so that
// entry VMs that saw the same crash write the same key, and one a trial.
const (
	prefixCrash = "carobward/crash/"
	prefixTrial = "carobward/trial/"
)

// lineMost is how much of a request's path is kept for operators, in bytes.
const lineMost = 80

// Crash is the end of one server's process with a request in flight there.
type Crash struct {
	Print  Print
	Server carobward.Instance
	// Start tells which process of the server it was.
	Start carobward.Start
	// At is when it was seen, by the clock of the entry VM that saw it.
	At      time.Time
	VM      carobward.VMID
	Service carobward.Service
	Route   carobward.RouteName
	// Request is the request's method, host and path for operators, cut short.
	Request string
	// Caller is the IP number that it came from.
	Caller string
}

// RequestOf returns what operators are told of a request.
func RequestOf(c *carobward.Call) string {
	text := c.Method + " " + c.Host + c.URI

	return strings.ToValidUTF8(text[:min(len(text), lineMost)], "")
}

// server is the digest of the run of a server that ended.
func (c *Crash) server() Digest {
	return digest(string(c.Server), strconv.FormatInt(int64(c.Start), 10))
}

// key returns the key of a crash.
func (c *Crash) key() carobward.Key {
	return carobward.Key(prefixCrash + c.Print.String() + "/" + c.server().String())
}

func (c *Crash) encode() ([]byte, error) {
	return proto.Marshal(&cwwire.Crash{
		Server: string(c.Server), Start: int64(c.Start), At: c.At.UnixMilli(), Vm: string(c.VM), Service: string(c.Service),
		Route: string(c.Route), Line: c.Request, Caller: c.Caller,
	})
}

// decodeCrash reads what the store has of a crash.
func decodeCrash(key carobward.Key, value []byte) (Crash, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(string(key), prefixCrash), "/")

	p, err := ParsePrint(text)
	if err != nil {
		return Crash{}, err
	}

	var w cwwire.Crash
	if err := proto.Unmarshal(value, &w); err != nil {
		return Crash{}, errors.Annotatef(err, "quarantine: %s", key)
	}

	c := Crash{
		Print: p, Server: carobward.Instance(w.GetServer()), Start: carobward.Start(w.GetStart()), At: time.UnixMilli(w.GetAt()), VM: carobward.VMID(w.GetVm()),
		Service: carobward.Service(w.GetService()), Route: carobward.RouteName(w.GetRoute()), Request: w.GetLine(), Caller: w.GetCaller(),
	}

	if c.key() != key {
		return c, errors.Errorf("quarantine: %s is not the key of the crash that it has", key)
	}

	return c, nil
}

// Trial is one send of a quarantined request that finds out whether servers bear it
// now. There are few, so that each has a number.
type Trial struct {
	// Print has no caller where the trial is for all of them.
	Print Print
	// Number counts from 1.
	Number int
	At     time.Time
	VM     carobward.VMID
}

// key returns the key of a trial.
func (t *Trial) key() carobward.Key {
	return carobward.Key(prefixTrial + t.Print.String() + "/" + strconv.Itoa(t.Number))
}

func (t *Trial) encode() ([]byte, error) {
	return proto.Marshal(&cwwire.Trial{At: t.At.UnixMilli(), Vm: string(t.VM)})
}

// decodeTrial reads what the store has of a trial.
func decodeTrial(key carobward.Key, value []byte) (Trial, error) {
	text, number, _ := strings.Cut(strings.TrimPrefix(string(key), prefixTrial), "/")

	p, err := ParsePrint(text)
	if err != nil {
		return Trial{}, err
	}

	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > trialsMost {
		return Trial{}, errors.Errorf("quarantine: %s has no number of a trial", key)
	}

	var w cwwire.Trial
	if err := proto.Unmarshal(value, &w); err != nil {
		return Trial{}, errors.Annotatef(err, "quarantine: %s", key)
	}

	return Trial{Print: p, Number: n, At: time.UnixMilli(w.GetAt()), VM: carobward.VMID(w.GetVm())}, nil
}
