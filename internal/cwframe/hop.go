package cwframe

// hopByHop lists the fields that concern one connection only, RFC 9110, 7.6.1,
// and those that a message gets anew for its next connection, as the HTTP
// library spells them.
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

// HopByHop tells whether a field is not passed on from one connection to the
// next. The name is in canonical form, such as Content-Length.
func HopByHop(name string) bool { return hopByHop[name] }
