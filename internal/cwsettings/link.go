package cwsettings

import (
	"time"

	"carobward.example/carobward"
)

// Link limits the connections to servers.
type Link struct {
	// Conns is the maximum number of connections to one server, shared by all
	// entry VMs.
	Conns int `json:"conns"`
	// Keep is how long an idle connection may be reused. It should be shorter
	// than the idle timeout of the servers.
	Keep carobward.Duration `json:"keep"`
	// Dial is the timeout for opening a connection.
	Dial carobward.Duration `json:"dial"`
	// Header is the maximum size of a reply header in bytes.
	Header carobward.ByteCount `json:"header"`
}

// The default values of Link.
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

func (l *Link) validate(fail reportFunc) {
	fail.checkRange("link.conns", int64(l.Conns), 1, maxCount)
	fail.checkRange("link.header", int64(l.Header), int64(minHeader), int64(maxHeader))
	fail.checkTime("link.keep", l.Keep, minTime)
	fail.checkTime("link.dial", l.Dial, minTime)
}
