package httpcall

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
)

// Caller calls one service over its own pool of connections, so that giving up
// on them touches no other service.
type Caller struct {
	opts      Options
	base      *sling.Sling
	transport *http.Transport
}

// New makes the caller of the service at a base URL. It does no I/O.
func New(baseURL string, opts Options) *Caller {
	opts = opts.withDefaults()
	transport := &http.Transport{
		DialContext:         opts.Dial,
		MaxConnsPerHost:     opts.MaxConns,
		MaxIdleConnsPerHost: min(maxIdleConns, opts.MaxConns),
		IdleConnTimeout:     idleTimeout,
	}
	base := sling.New().Base(baseURL).Set(protocol.HeaderRegion, string(opts.Region))
	return &Caller{opts: opts, base: base, transport: transport}
}

// Close gives the idle connections up.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }

// Post sends in to path and reads the answer into out. The call is given up when
// no answer has begun Timeout after hold, which is how long the far side was
// asked to wait, or when a begun answer stops arriving for Timeout. Errors
// wrap those of package platform; ErrUnclear unless the answer, or the lack of
// any connection, proves more.
func (c *Caller) Post(ctx context.Context, path string, hold time.Duration, in, out any) error {
	req, err := c.base.New().Post(path).BodyJSON(in).Request()
	if err != nil {
		return eris.Wrap(platform.ErrNotSent, err.Error())
	}
	return c.do(ctx, req, hold, out)
}

// Get reads the answer of path into out, with the errors of Post.
func (c *Caller) Get(ctx context.Context, path string, out any) error {
	req, err := c.base.New().Get(path).Request()
	if err != nil {
		return eris.Wrap(platform.ErrNotSent, err.Error())
	}
	return c.do(ctx, req, 0, out)
}

func (c *Caller) do(ctx context.Context, req *http.Request, hold time.Duration, out any) error {
	ctx, patience, done := newPatience(ctx, hold, c.opts.Timeout)
	defer done()
	var t trace
	res, err := c.transport.RoundTrip(req.WithContext(t.attach(ctx)))
	if err != nil {
		return c.failed(&t, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reader{res.Body, patience}, protocol.MaxResponse+1))
	if err != nil {
		return c.failed(&t, err)
	}
	count(c.opts.Region, req, res, len(body))
	return decode(res.StatusCode, body, out)
}

// decode reads an answer. The error wraps ErrUnclear unless the answer is a
// problem document that says more.
func decode(status int, body []byte, out any) error {
	if len(body) > protocol.MaxResponse {
		return eris.Wrap(platform.ErrUnclear, "answer over the size limit")
	}
	if status != http.StatusOK {
		return protocol.ParseProblem(status, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return eris.Wrapf(platform.ErrUnclear, "answer not understood: %v", err)
	}
	return nil
}

// failed says what a call without an answer proves. The other connections of
// the pool may have gone silent too, so none of them is used again.
func (c *Caller) failed(t *trace, err error) error {
	c.transport.CloseIdleConnections()
	if !t.connected() {
		return eris.Wrap(platform.ErrNotSent, err.Error())
	}
	return eris.Wrap(platform.ErrUnclear, err.Error())
}
