// Package cwkv implements carobward.Store with the Consul KV HTTP API, see
// https://developer.hashicorp.com/consul/api-docs/kv. It uses reads and
// check-and-set writes of single keys, and blocking queries for watches.
package cwkv

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"expvar"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

const (
	// maxReply limits the body of a reply, in bytes. It has room for a value
	// of one megabyte in base64 and the JSON around it.
	maxReply = 2 << 20
	// watchWait is how long a blocking query may wait. When it ends, the
	// service sends the value again, so a shorter wait costs bandwidth.
	watchWait = 20 * time.Second
	// watchSlack is how much longer than watchWait the service may take.
	watchSlack  = 5 * time.Second
	indexHeader = "X-Consul-Index"
)

// The kinds of calls, by their names in the metric.
const (
	callRead   = "reads"
	callWatch  = "watches"
	callWrite  = "writes"
	callFailed = "failed"
)

// Client is a client of the key-value service. Each call uses its own
// connection: calls are rare, cancelling the context closes the connection at
// once, and no call is ever retried on another connection.
type Client struct {
	dialer  dialer
	prefix  string
	timeout time.Duration
	// calls counts the calls by kind, and the failed ones.
	calls *expvar.Map
}

// New returns a client of the service at base, such as http://10.0.0.2:8500.
// The prefix is prepended to every key. The timeout applies to each call except
// watches. Calls are counted in calls.
func New(base, prefix string, timeout time.Duration, calls *expvar.Map) *Client {
	return &Client{dialer: newDialer(base), prefix: prefix, timeout: timeout, calls: calls}
}

// Get returns the entry of a key. Its index is zero if the key does not exist.
func (c *Client) Get(ctx context.Context, key carobward.Key) (carobward.Entry, error) {
	c.calls.Add(callRead, 1)

	return c.read(ctx, key, "", c.timeout)
}

// Watch waits for a change of the key with a blocking query.
func (c *Client) Watch(ctx context.Context, key carobward.Key, after carobward.StoreIndex) (carobward.Entry, error) {
	c.calls.Add(callWatch, 1)

	query := fmt.Sprintf("?index=%d&wait=%ds", after, int(watchWait.Seconds()))

	return c.read(ctx, key, query, watchWait+watchSlack)
}

// pair is a value in the JSON of the service.
type pair struct {
	Value       string
	ModifyIndex uint64
}

func (c *Client) read(ctx context.Context, key carobward.Key, query string, timeout time.Duration) (carobward.Entry, error) {
	entry := carobward.Entry{Key: key}

	r, err := c.do(ctx, fasthttp.MethodGet, key, query, nil, timeout)
	if err != nil {
		return entry, errors.WithType(err, carobward.ErrStoreDown)
	}

	next, _ := strconv.ParseUint(r.index, 10, 64)
	entry.Next = carobward.StoreIndex(next)

	switch r.status {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotFound:
		return entry, nil
	default:
		return entry, errors.Annotatef(carobward.ErrStoreDown, "store: status %d", r.status)
	}

	return entry, decode(r.body, &entry)
}

// decode decodes a reply, which must hold exactly one pair, into entry.
func decode(body []byte, entry *carobward.Entry) error {
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil || len(pairs) != 1 {
		return errors.Annotate(carobward.ErrStoreDown, "store: malformed reply")
	}

	value, err := base64.StdEncoding.DecodeString(pairs[0].Value)
	if err != nil {
		return errors.Annotate(carobward.ErrStoreDown, "store: malformed value")
	}

	entry.Value = value
	entry.Index = carobward.StoreIndex(pairs[0].ModifyIndex)

	return nil
}

// Swap writes a value with check-and-set against the index base. The error is
// ErrConflict if the key has changed since, ErrStoreDown if the value was not
// written, and ErrStoreUnknown if it may have been written.
func (c *Client) Swap(ctx context.Context, key carobward.Key, value []byte, base carobward.StoreIndex) error {
	c.calls.Add(callWrite, 1)

	query := fmt.Sprintf("?cas=%d", base)

	r, err := c.do(ctx, fasthttp.MethodPut, key, query, value, c.timeout)
	if errors.Is(err, errNotSent) {
		return errors.WithType(err, carobward.ErrStoreDown)
	}

	if err != nil {
		return errors.WithType(err, carobward.ErrStoreUnknown)
	}

	if r.status != fasthttp.StatusOK {
		return errors.Annotatef(carobward.ErrStoreUnknown, "store: status %d", r.status)
	}

	switch string(bytes.TrimSpace(r.body)) {
	case "true":
		return nil
	case "false":
		return carobward.ErrConflict
	default:
		return errors.Annotate(carobward.ErrStoreUnknown, "store: malformed reply")
	}
}

func (c *Client) do(ctx context.Context, method string, key carobward.Key, query string, body []byte, timeout time.Duration) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)

	path := (&url.URL{Path: c.prefix + string(key)}).EscapedPath()

	req.Header.SetMethod(method)
	req.SetRequestURI(c.dialer.base + "/v1/kv/" + path + query)
	req.SetBody(body)
	req.SetConnectionClose()

	r, err := c.dialer.exchange(ctx, req)
	if err != nil {
		c.calls.Add(callFailed, 1)
	}

	return r, err
}
