package cwframe

// hopByHop lists the hop-by-hop fields, RFC 9110, 7.6.1, and the fields that are
// generated anew for each connection, in the spelling of the HTTP library.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
	"Expect":              true,
}

// HopByHop reports whether a field must not be forwarded. The name must be in
// canonical form, such as Content-Length.
func HopByHop(name string) bool { return hopByHop[name] }
