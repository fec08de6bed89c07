package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
)

// ErrNoAnswer means that a call received no answer that states the request's
// outcome.
var ErrNoAnswer = eris.New("no answer")

const (
	idleConns = 512
	// maxAnswerBytes is the largest part of an answer's body that is read.
	maxAnswerBytes = 16 << 20
)

// HTTPCaller sends calls to several entry hosts in turn, as a load balancer would.
// It is safe for concurrent use.
type HTTPCaller struct {
	client *http.Client
	token  string

	mu    sync.Mutex
	bases []string
	next  int
}

// NewHTTPCaller returns a caller for entry hosts with the given base URLs. A token
// that is not empty is sent as a bearer token.
func NewHTTPCaller(bases []string, token string) *HTTPCaller {
	t := &http.Transport{MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: time.Minute}
	return &HTTPCaller{client: &http.Client{Transport: t}, bases: slices.Clone(bases), token: token}
}

// AddHost adds an entry host.
func (h *HTTPCaller) AddHost(base string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bases = append(h.bases, base)
}

// RemoveHost removes an entry host, as a load balancer does with a host that is not
// ready.
func (h *HTTPCaller) RemoveHost(base string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bases = slices.DeleteFunc(h.bases, func(b string) bool { return b == base })
}

// nextBase returns the base URL of the next entry host.
func (h *HTTPCaller) nextBase() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.bases) == 0 {
		return ""
	}
	h.next++
	return h.bases[h.next%len(h.bases)]
}

// Close closes the idle connections.
func (h *HTTPCaller) Close() { h.client.CloseIdleConnections() }

// requestBody is the JSON of a request or job.
type requestBody struct {
	Key         model.Key       `json:"key"`
	Account     model.Account   `json:"account"`
	Kind        model.Kind      `json:"kind"`
	Idempotent  bool            `json:"idempotent"`
	Deadline    time.Time       `json:"deadline"`
	Shape       model.Shape     `json:"shape"`
	Class       string          `json:"class"`
	Preemptible bool            `json:"preemptible"`
	DeclaredRun string          `json:"declared_run"`
	Body        json.RawMessage `json:"body"`
	Members     *int            `json:"members,omitempty"`
	Adjacency   model.Adjacency `json:"adjacency,omitempty"`
}

// replyBody holds the fields of answers and problems that the caller reads.
type replyBody struct {
	State   string        `json:"state"`
	Outcome model.Outcome `json:"outcome"`
	Reason  model.Reason  `json:"reason"`
	Code    model.Reason  `json:"code"`
}

// Send posts the call to the next entry host. Its error wraps ErrNoAnswer.
func (h *HTTPCaller) Send(ctx context.Context, c Call) (Reply, error) {
	k := c.Spec
	body := requestBody{
		Key: c.Key, Account: k.Account, Kind: k.Kind, Idempotent: k.Idempotent, Deadline: c.Deadline,
		Shape: k.Shape, Class: k.Class.String(), Preemptible: k.Preemptible,
		DeclaredRun: k.MeanRunTime.String(), Body: c.Body,
	}
	path := "/v1/requests"
	if k.Job {
		path = "/v1/jobs"
		body.Members, body.Adjacency = &k.Members, k.Adjacency
	}
	return h.doRequest(ctx, h.newRequest().Post(path).BodyJSON(body))
}

// Status queries the next entry host for the state of a key. Its error wraps
// ErrNoAnswer.
func (h *HTTPCaller) Status(ctx context.Context, account model.Account, k model.Key) (Reply, error) {
	q := struct {
		Account model.Account `url:"account"`
	}{account}
	return h.doRequest(ctx, h.newRequest().Get("/v1/requests/"+url.PathEscape(string(k))).QueryStruct(q))
}

func (h *HTTPCaller) newRequest() *sling.Sling {
	s := sling.New().Base(h.nextBase())
	if h.token != "" {
		s = s.Set("Authorization", "Bearer "+h.token)
	}
	return s
}

func (h *HTTPCaller) doRequest(ctx context.Context, s *sling.Sling) (Reply, error) {
	req, err := s.Request()
	if err != nil {
		return Reply{}, eris.Wrap(ErrNoAnswer, err.Error())
	}
	resp, err := h.client.Do(req.WithContext(ctx))
	if err != nil {
		return Reply{}, eris.Wrap(ErrNoAnswer, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Reply{}, eris.Wrap(ErrNoAnswer, err.Error())
	}
	return parseReply(resp, data)
}

// parseReply returns the reply that an HTTP response stands for.
func parseReply(resp *http.Response, data []byte) (Reply, error) {
	var r replyBody
	if err := json.Unmarshal(data, &r); err != nil {
		return Reply{}, eris.Wrap(ErrNoAnswer, err.Error())
	}
	t := Reply{Outcome: r.Outcome, Reason: r.Reason, RetryAfter: retryAfter(resp)}
	if t.Reason == "" {
		t.Reason = r.Code
	}
	switch {
	case t.Outcome != "":
		return t, nil
	case resp.StatusCode == http.StatusAccepted, r.State == "waiting", r.State == "running":
		t.Accepted = true
		return t, nil
	case resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError:
		t.Outcome = model.OutcomeNotRun
		return t, nil
	}
	return Reply{}, eris.Wrapf(ErrNoAnswer, "status %d, code %q", resp.StatusCode, r.Code)
}

func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(s) * time.Second
}
