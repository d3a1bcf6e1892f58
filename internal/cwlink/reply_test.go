package cwlink

import (
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
)

// outcome is what a call came to.
type outcome struct {
	Status  int
	Body    string
	Shed    bool
	Verdict string
	// Idle tells whether the connection was kept for another call.
	Idle bool
}

// TestReplies sends one call to a server that answers in many ways: a reply
// is delivered whole or not at all, and the server sees the call once.
func TestReplies(t *testing.T) {
	unknown := outcome{Verdict: "unknown"}
	kept := outcome{Status: 200, Body: "body", Idle: true}
	dropped := outcome{Status: 200, Body: "body"}

	const (
		own     = "X-Request-Id: ID\r\n"
		ok      = "HTTP/1.1 200 OK\r\n" + own
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		busy    = "HTTP/1.1 503 Busy\r\n" + own
		notRun  = "Carobward-Verdict: not-run\r\n"
	)

	for name, c := range map[string]struct {
		reply  string
		close  bool
		silent bool
		method string
		want   outcome
	}{
		"whole":                   {reply: whole, want: kept},
		"closed after it":         {reply: whole, close: true, want: kept},
		"connection close":        {reply: strings.Replace(whole, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), want: dropped},
		"leftover bytes":          {reply: whole + "HTTP/1.1 200 OK\r\n", want: dropped},
		"duplicated":              {reply: whole + whole, want: dropped},
		"cut in the body":         {reply: whole[:len(whole)-1], close: true, want: unknown},
		"cut in the header":       {reply: whole[:30], close: true, want: unknown},
		"nothing":                 {close: true, want: unknown},
		"silence":                 {silent: true, want: unknown},
		"stops in the body":       {reply: whole[:len(whole)-1], silent: true, want: unknown},
		"stops in the header":     {reply: whole[:30], silent: true, want: unknown},
		"no length":               {reply: ok + "\r\nbody", close: true, want: unknown},
		"old protocol, no length": {reply: "HTTP/1.0 200 OK\r\n" + own + "\r\nbody", close: true, want: unknown},
		"old protocol, length":    {reply: strings.Replace(whole, "1.1", "1.0", 1), want: dropped},
		"no id":                   {reply: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", want: unknown},
		"another id":              {reply: strings.Replace(whole, "ID", "other", 1), want: unknown},
		"id with more":            {reply: strings.Replace(whole, "ID", "ID2", 1), want: unknown},
		"two ids":                 {reply: strings.Replace(whole, own, own+"X-Request-Id: other\r\n", 1), want: unknown},
		"the same id twice":       {reply: strings.Replace(whole, own, own+own, 1), want: unknown},
		"two lengths":             {reply: strings.Replace(whole, own, own+"Content-Length: 2\r\n", 1), want: unknown},
		"length and encoding":     {reply: ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", want: unknown},
		"folded header":           {reply: strings.Replace(whole, own, own+"A: b\r\n c\r\n", 1), want: unknown},
		"bare line ends":          {reply: strings.ReplaceAll(whole, "\r\n", "\n"), close: true, want: unknown},
		"negative length":         {reply: strings.Replace(whole, ": 4", ": -4", 1), want: unknown},
		"huge length":             {reply: strings.Replace(whole, ": 4", ": 99999999999999999999", 1), want: unknown},
		"too large":               {reply: ok + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65), want: unknown},
		"too large header":        {reply: ok + "A: " + strings.Repeat("x", 5000) + "\r\n\r\n", want: unknown},
		"never ending":            {reply: "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 5000), want: unknown},
		"not HTTP":                {reply: "SSH-2.0-OpenSSH\r\n\r\n", want: unknown},
		"empty lines first":       {reply: "\r\n\r\n" + whole, want: unknown},
		"status 999":              {reply: strings.Replace(whole, "200", "999", 1), want: unknown},
		"chunked":                 {reply: chunked + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", want: kept},
		"chunked with trailers":   {reply: ok + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n", want: kept},
		"chunked and cut":         {reply: chunked + "4\r\nbody\r\n", close: true, want: unknown},
		"chunked, cut in the end": {reply: chunked + "4\r\nbody\r\n0\r\n", close: true, want: unknown},
		"chunked, bad size":       {reply: chunked + "zz\r\nbody\r\n0\r\n\r\n", want: unknown},
		"chunked, too large":      {reply: chunked + "41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n", want: unknown},
		"chunked without end":     {reply: chunked + strings.Repeat("1\r\nx\r\n", 100), want: unknown},
		"id in the trailer": {
			reply: "HTTP/1.1 200 OK\r\nTrailer: X-Request-Id\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + own + "\r\n",
			want:  unknown,
		},
		"interim replies first":  {reply: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + whole, want: kept},
		"interim replies only":   {reply: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9), want: unknown},
		"interim, then nothing":  {reply: "HTTP/1.1 100 Continue\r\n\r\n", close: true, want: unknown},
		"other protocol":         {reply: "HTTP/1.1 101 Switching Protocols\r\n" + own + "Upgrade: x\r\nConnection: Upgrade\r\n\r\n", want: unknown},
		"no content":             {reply: "HTTP/1.1 204 No Content\r\n" + own + "\r\n", want: outcome{Status: 204, Idle: true}},
		"not modified":           {reply: "HTTP/1.1 304 Not Modified\r\n" + own + "Content-Length: 9\r\n\r\n", want: outcome{Status: 304, Idle: true}},
		"no content, but a body": {reply: "HTTP/1.1 204 No Content\r\n" + own + "\r\nbody", want: outcome{Status: 204}},
		"HEAD":                   {reply: ok + "Content-Length: 900\r\n\r\n", method: "HEAD", want: outcome{Status: 200, Idle: true}},
		"HEAD, but a body":       {reply: whole, method: "HEAD", want: outcome{Status: 200}},
		"shed":                   {reply: busy + notRun + "Content-Length: 0\r\n\r\n", want: outcome{Status: 503, Shed: true, Idle: true}},
		"shed, but cut":          {reply: busy + notRun + "Content-Length: 1\r\n\r\n", close: true, want: unknown},
		"shed, but another's": {
			reply: "HTTP/1.1 503 Busy\r\nX-Request-Id: other\r\nCarobward-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", want: unknown,
		},
		"shed, but a success":   {reply: ok + notRun + "Content-Length: 0\r\n\r\n", want: outcome{Status: 200, Idle: true}},
		"shed, but ran as well": {reply: busy + notRun + "Carobward-Verdict: ran\r\nContent-Length: 0\r\n\r\n", want: outcome{Status: 503, Idle: true}},
		"shed in the trailer": {
			reply: busy + "Trailer: Carobward-Verdict\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nCarobward-Verdict: not-run\r\n\r\n",
			want:  outcome{Status: 503, Idle: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, cwstand.Text(c.reply, !c.close))
			l := newLink(t)

			one := call("one")
			if c.method != "" {
				one.Method = c.method
			}

			if c.silent {
				one = soon(one)
			}

			reply, err := exchange(l, s, one)
			got := outcome{Verdict: verdict(err)}

			if err == nil {
				got = outcome{Status: reply.Status, Body: string(reply.Body), Shed: reply.Shed}
			}

			n, _ := idle(l, s.Address())
			got.Idle = n == 1

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("%s\n%v", diff, err)
			}

			if n := s.Requests(); n != 1 {
				t.Errorf("the server saw %d requests", n)
			}
		})
	}
}

func verdict(err error) string {
	if err == nil {
		return ""
	}

	return carobward.VerdictOf(err).String()
}

// TestTrickle takes a reply that comes byte by byte.
func TestTrickle(t *testing.T) {
	s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
		for _, b := range strings.ReplaceAll(whole, "ID", cwstand.RequestID(req)) {
			_, _ = c.Write([]byte(string(b)))
		}

		return true
	})

	reply, err := exchange(newLink(t), s, call("one"))
	if err != nil {
		t.Fatal(err)
	}

	want := &carobward.Reply{Status: 200, Body: []byte("body"), Header: carobward.Header{
		{Name: "Content-Length", Value: "4"},
		{Name: "X-Request-Id", Value: "one"},
	}}
	if diff := cmp.Diff(want, reply); diff != "" {
		t.Error(diff)
	}
}
