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

// Prefixes of the keys in the store. There is one key for each crash, made from the request and the
// server, so that entry VMs that saw the same crash write the same key, and one for each trial.
const (
	prefixCrash = "carobward/crash/"
	prefixTrial = "carobward/trial/"
)

// maxRequestText is how much of a request's method, host and path is kept for operators, in bytes.
const maxRequestText = 80

// Crash is the end of a server's process while a request was in flight there.
type Crash struct {
	Fingerprint Fingerprint
	Server      carobward.Instance
	// Start identifies the process of the server.
	Start carobward.Start
	// At is when the crash was seen, by the clock of the entry VM that saw it.
	At      time.Time
	VM      carobward.VMID
	Service carobward.Service
	Route   carobward.RouteName
	// Request is the request's method, host and path for operators, truncated.
	Request string
	// Caller is the IP number from which the request came.
	Caller string
}

// DescribeRequest returns the description of a request for operators.
func DescribeRequest(c *carobward.Call) string {
	text := c.Method + " " + c.Host + c.URI

	return strings.ToValidUTF8(text[:min(len(text), maxRequestText)], "")
}

// serverDigest returns the digest of the server's process that crashed.
func (c *Crash) serverDigest() Digest {
	return digest(string(c.Server), strconv.FormatInt(int64(c.Start), 10))
}

// key returns the store's key of the crash.
func (c *Crash) key() carobward.Key {
	return carobward.Key(prefixCrash + c.Fingerprint.String() + "/" + c.serverDigest().String())
}

func (c *Crash) encode() ([]byte, error) {
	return proto.Marshal(&cwwire.Crash{
		Server: string(c.Server), Start: int64(c.Start), At: c.At.UnixMilli(), Vm: string(c.VM), Service: string(c.Service),
		Route: string(c.Route), Line: c.Request, Caller: c.Caller,
	})
}

// decodeCrash decodes a crash record of the store.
func decodeCrash(key carobward.Key, value []byte) (Crash, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(string(key), prefixCrash), "/")

	fp, err := ParseFingerprint(text)
	if err != nil {
		return Crash{}, err
	}

	var w cwwire.Crash
	if err := proto.Unmarshal(value, &w); err != nil {
		return Crash{}, errors.Annotatef(err, "quarantine: %s", key)
	}

	c := Crash{
		Fingerprint: fp, Server: carobward.Instance(w.GetServer()), Start: carobward.Start(w.GetStart()), At: time.UnixMilli(w.GetAt()), VM: carobward.VMID(w.GetVm()),
		Service: carobward.Service(w.GetService()), Route: carobward.RouteName(w.GetRoute()), Request: w.GetLine(), Caller: w.GetCaller(),
	}

	if c.key() != key {
		return c, errors.Errorf("quarantine: %s holds a crash that belongs under another key", key)
	}

	return c, nil
}

// Trial is one send of a quarantined request, which shows whether servers survive it now.
// Trials are numbered, up to maxTrials.
type Trial struct {
	// Fingerprint has no caller if the trial is for all callers together.
	Fingerprint Fingerprint
	// Number counts from 1.
	Number int
	At     time.Time
	VM     carobward.VMID
}

// key returns the store's key of the trial.
func (t *Trial) key() carobward.Key {
	return carobward.Key(prefixTrial + t.Fingerprint.String() + "/" + strconv.Itoa(t.Number))
}

func (t *Trial) encode() ([]byte, error) {
	return proto.Marshal(&cwwire.Trial{At: t.At.UnixMilli(), Vm: string(t.VM)})
}

// decodeTrial decodes a trial record of the store.
func decodeTrial(key carobward.Key, value []byte) (Trial, error) {
	text, number, _ := strings.Cut(strings.TrimPrefix(string(key), prefixTrial), "/")

	fp, err := ParseFingerprint(text)
	if err != nil {
		return Trial{}, err
	}

	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > maxTrials {
		return Trial{}, errors.Errorf("quarantine: key %s has no valid trial number", key)
	}

	var w cwwire.Trial
	if err := proto.Unmarshal(value, &w); err != nil {
		return Trial{}, errors.Annotatef(err, "quarantine: %s", key)
	}

	return Trial{Fingerprint: fp, Number: n, At: time.UnixMilli(w.GetAt()), VM: carobward.VMID(w.GetVm())}, nil
}
