package cwsettings

import (
	"time"

	"carobward.example/carobward"
)

// Link bounds the connections to servers.
type Link struct {
	// Conns is the number of connections that one server takes; all entry
	// VMs share them.
	Conns int `json:"conns"`
	// Keep is how long a connection may be idle and still be used. It
	// should be shorter than the servers' own idle timeout.
	Keep carobward.Duration `json:"keep"`
	// Dial bounds the time to open a connection.
	Dial carobward.Duration `json:"dial"`
	// Header is the largest reply header in bytes.
	Header carobward.ByteCount `json:"header"`
}

// The default values of the link.
const (
	defaultLinkConns  = 250
	defaultLinkKeep   = 30 * time.Second
	defaultLinkDial   = 250 * time.Millisecond
	defaultLinkHeader = 16 * carobward.Kilobyte
)

func defaultLink() Link {
	return Link{
		Conns:  defaultLinkConns,
		Keep:   carobward.Duration(defaultLinkKeep),
		Dial:   carobward.Duration(defaultLinkDial),
		Header: defaultLinkHeader,
	}
}

func (l *Link) validate(fail failer) {
	fail.unless("link.conns", int64(l.Conns), 1, callsHigh)
	fail.unless("link.header", int64(l.Header), int64(headerLow), int64(headerHigh))
	fail.unlessTime("link.keep", l.Keep, timeLow)
	fail.unlessTime("link.dial", l.Dial, timeLow)
}
