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

// linkHeaderLeast is the smallest reply header in bytes that is of use.
const linkHeaderLeast = carobward.Kilobyte

func (l *Link) validate(fail failer) {
	if l.Conns < 1 {
		fail(`settings: "link.conns": want the number of connections that one server takes, such as 250, got %d`, l.Conns)
	}

	if l.Keep <= 0 {
		fail(`settings: "link.keep": want more than zero, such as "30s"`)
	}

	if l.Dial <= 0 {
		fail(`settings: "link.dial": want more than zero, such as "250ms"`)
	}

	if l.Header < linkHeaderLeast {
		fail(`settings: "link.header": want at least 1024 bytes, got %d`, l.Header)
	}
}
