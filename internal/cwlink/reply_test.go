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

// exchangeResult is the outcome of a call.
type exchangeResult struct {
	Status  int
	Body    string
	Shed    bool
	Verdict string
	// Idle reports whether the connection was kept for another call.
	Idle bool
}

// TestReplies sends one call to a server that gives valid, invalid and incomplete
// replies. A reply must be returned completely or not at all, and the server must
// receive the call once.
func TestReplies(t *testing.T) {
	unknown := exchangeResult{Verdict: "unknown"}
	kept := exchangeResult{Status: 200, Body: "body", Idle: true}
	dropped := exchangeResult{Status: 200, Body: "body"}

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
		want   exchangeResult
	}{
		"complete":                      {reply: okReply, want: kept},
		"closed after it":               {reply: okReply, close: true, want: kept},
		"connection close":              {reply: strings.Replace(okReply, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), want: dropped},
		"leftover bytes":                {reply: okReply + "HTTP/1.1 200 OK\r\n", want: dropped},
		"duplicated":                    {reply: okReply + okReply, want: dropped},
		"truncated in the body":         {reply: okReply[:len(okReply)-1], close: true, want: unknown},
		"truncated in the header":       {reply: okReply[:30], close: true, want: unknown},
		"empty":                         {close: true, want: unknown},
		"silence":                       {silent: true, want: unknown},
		"stops in the body":             {reply: okReply[:len(okReply)-1], silent: true, want: unknown},
		"stops in the header":           {reply: okReply[:30], silent: true, want: unknown},
		"no length":                     {reply: ok + "\r\nbody", close: true, want: unknown},
		"HTTP/1.0, no length":           {reply: "HTTP/1.0 200 OK\r\n" + own + "\r\nbody", close: true, want: unknown},
		"HTTP/1.0, length":              {reply: strings.Replace(okReply, "1.1", "1.0", 1), want: dropped},
		"no id":                         {reply: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", want: unknown},
		"another id":                    {reply: strings.Replace(okReply, "ID", "other", 1), want: unknown},
		"id with more":                  {reply: strings.Replace(okReply, "ID", "ID2", 1), want: unknown},
		"two ids":                       {reply: strings.Replace(okReply, own, own+"X-Request-Id: other\r\n", 1), want: unknown},
		"the same id twice":             {reply: strings.Replace(okReply, own, own+own, 1), want: unknown},
		"two lengths":                   {reply: strings.Replace(okReply, own, own+"Content-Length: 2\r\n", 1), want: unknown},
		"length and encoding":           {reply: ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", want: unknown},
		"folded header":                 {reply: strings.Replace(okReply, own, own+"A: b\r\n c\r\n", 1), want: unknown},
		"bare line ends":                {reply: strings.ReplaceAll(okReply, "\r\n", "\n"), close: true, want: unknown},
		"negative length":               {reply: strings.Replace(okReply, ": 4", ": -4", 1), want: unknown},
		"huge length":                   {reply: strings.Replace(okReply, ": 4", ": 99999999999999999999", 1), want: unknown},
		"too large":                     {reply: ok + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65), want: unknown},
		"too large header":              {reply: ok + "A: " + strings.Repeat("x", 5000) + "\r\n\r\n", want: unknown},
		"endless header":                {reply: "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 5000), want: unknown},
		"not HTTP":                      {reply: "SSH-2.0-OpenSSH\r\n\r\n", want: unknown},
		"empty lines first":             {reply: "\r\n\r\n" + okReply, want: unknown},
		"status 999":                    {reply: strings.Replace(okReply, "200", "999", 1), want: unknown},
		"status 000":                    {reply: strings.Replace(okReply, "200", "000", 1), want: unknown},
		"status 099":                    {reply: strings.Replace(okReply, "200", "099", 1), want: unknown},
		"status 600":                    {reply: strings.Replace(okReply, "200", "600", 1), want: unknown},
		"status 1000":                   {reply: strings.Replace(okReply, "200", "1000", 1), want: unknown},
		"status 20":                     {reply: strings.Replace(okReply, "200", "20", 1), want: unknown},
		"two blanks before the status":  {reply: strings.Replace(okReply, " 200", "  200", 1), want: unknown},
		"a tab before the status":       {reply: strings.Replace(okReply, " 200", "\t200", 1), want: unknown},
		"a sign in the status":          {reply: strings.Replace(okReply, "200", "+20", 1), want: unknown},
		"no reason":                     {reply: strings.Replace(okReply, " OK", "", 1), want: kept},
		"an empty reason":               {reply: strings.Replace(okReply, " OK", " ", 1), want: kept},
		"NUL in the reason":             {reply: strings.Replace(okReply, "OK", "O\x00K", 1), want: unknown},
		"HTTP/1.10":                     {reply: strings.Replace(okReply, "1.1", "1.10", 1), want: unknown},
		"HTTP/2":                        {reply: strings.Replace(okReply, "1.1", "2.0", 1), want: unknown},
		"a blank in a name":             {reply: strings.Replace(okReply, own, own+"A B: c\r\n", 1), want: unknown},
		"a blank before a colon":        {reply: strings.Replace(okReply, own, own+"A : c\r\n", 1), want: unknown},
		"a control byte in a name":      {reply: strings.Replace(okReply, own, own+"A\x01: c\r\n", 1), want: unknown},
		"NUL in a name":                 {reply: strings.Replace(okReply, own, own+"A\x00: c\r\n", 1), want: unknown},
		"NUL in a value":                {reply: strings.Replace(okReply, own, own+"A: c\x00\r\n", 1), want: unknown},
		"an interim with status 000":    {reply: "HTTP/1.1 000 Go\r\n\r\n" + okReply, want: unknown},
		"an interim with an odd name":   {reply: "HTTP/1.1 103 Early\r\nA B: c\r\n\r\n" + okReply, want: unknown},
		"a sign in the length":          {reply: strings.Replace(okReply, ": 4", ": +4", 1), want: unknown},
		"an empty length":               {reply: strings.Replace(okReply, ": 4", ":", 1), want: unknown},
		"HEAD with status 000":          {reply: "HTTP/1.1 000 OK\r\n" + own + "Content-Length: 0\r\n\r\n", method: "HEAD", want: unknown},
		"chunked":                       {reply: chunked + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", want: kept},
		"chunked with trailers":         {reply: ok + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n", want: kept},
		"chunked, truncated":            {reply: chunked + "4\r\nbody\r\n", close: true, want: unknown},
		"chunked, truncated at the end": {reply: chunked + "4\r\nbody\r\n0\r\n", close: true, want: unknown},
		"chunked, bad size":             {reply: chunked + "zz\r\nbody\r\n0\r\n\r\n", want: unknown},
		"chunked, too large":            {reply: chunked + "41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n", want: unknown},
		"chunked without end":           {reply: chunked + strings.Repeat("1\r\nx\r\n", 100), want: unknown},
		"id in the trailer": {
			reply: "HTTP/1.1 200 OK\r\nTrailer: X-Request-Id\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + own + "\r\n",
			want:  unknown,
		},
		"interim replies first":  {reply: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okReply, want: kept},
		"interim replies only":   {reply: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9), want: unknown},
		"interim, then nothing":  {reply: "HTTP/1.1 100 Continue\r\n\r\n", close: true, want: unknown},
		"protocol switch":        {reply: "HTTP/1.1 101 Switching Protocols\r\n" + own + "Upgrade: x\r\nConnection: Upgrade\r\n\r\n", want: unknown},
		"no content":             {reply: "HTTP/1.1 204 No Content\r\n" + own + "\r\n", want: exchangeResult{Status: 204, Idle: true}},
		"not modified":           {reply: "HTTP/1.1 304 Not Modified\r\n" + own + "Content-Length: 9\r\n\r\n", want: exchangeResult{Status: 304, Idle: true}},
		"no content, but a body": {reply: "HTTP/1.1 204 No Content\r\n" + own + "\r\nbody", want: exchangeResult{Status: 204}},
		"HEAD":                   {reply: ok + "Content-Length: 900\r\n\r\n", method: "HEAD", want: exchangeResult{Status: 200, Idle: true}},
		"HEAD, but a body":       {reply: okReply, method: "HEAD", want: exchangeResult{Status: 200}},
		"shed":                   {reply: busy + notRun + "Content-Length: 0\r\n\r\n", want: exchangeResult{Status: 503, Shed: true, Idle: true}},
		"shed, but truncated":    {reply: busy + notRun + "Content-Length: 1\r\n\r\n", close: true, want: unknown},
		"shed, but for another call": {
			reply: "HTTP/1.1 503 Busy\r\nX-Request-Id: other\r\nCarobward-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", want: unknown,
		},
		"shed, but a success":   {reply: ok + notRun + "Content-Length: 0\r\n\r\n", want: exchangeResult{Status: 200, Idle: true}},
		"shed, but ran as well": {reply: busy + notRun + "Carobward-Verdict: ran\r\nContent-Length: 0\r\n\r\n", want: exchangeResult{Status: 503, Idle: true}},
		"shed in the trailer": {
			reply: busy + "Trailer: Carobward-Verdict\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nCarobward-Verdict: not-run\r\n\r\n",
			want:  exchangeResult{Status: 503, Idle: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, cwstand.FixedReply(c.reply, !c.close))
			l := newLink(t)

			one := newCall("one")
			if c.method != "" {
				one.Method = c.method
			}

			if c.silent {
				one = withShortDeadline(one)
			}

			reply, err := exchange(l, s, one)
			got := exchangeResult{Verdict: verdict(err)}

			if err == nil {
				got = exchangeResult{Status: reply.Status, Body: string(reply.Body), Shed: reply.Shed}
			}

			n, _ := connCounts(l, s.Address())
			got.Idle = n == 1

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("%s\n%v", diff, err)
			}

			if n := s.Requests(); n != 1 {
				t.Errorf("the server received %d requests, want 1", n)
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

// TestTrickle checks that a reply that arrives byte by byte is read correctly.
func TestTrickle(t *testing.T) {
	s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
		for _, b := range strings.ReplaceAll(okReply, "ID", cwstand.RequestID(req)) {
			_, _ = c.Write([]byte(string(b)))
		}

		return true
	})

	reply, err := exchange(newLink(t), s, newCall("one"))
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
