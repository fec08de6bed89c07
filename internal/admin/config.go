package admin

import (
	"context"
	"net/http"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/problem"
)

// pollInterval is the interval at which the hosts are polled for their versions.
const pollInterval = 250 * time.Millisecond

// maxWait is the longest that a call waits until all hosts have a version in force.
const maxWait = 2 * time.Minute

func (s *Server) showConfig(w http.ResponseWriter, r *http.Request) {
	cur := s.current(w)
	if cur == nil {
		return
	}
	text, err := config.Encode(&cur.Document)
	if err != nil {
		problem.New(http.StatusInternalServerError, codeInvalidConfig, err.Error()).Write(w)
		return
	}
	s.writeJSON(w, r, http.StatusOK, ConfigResponse{Version: cur.Version, Document: string(text)})
}

// current returns the configuration in force. If there is none, it writes the error
// response and returns nil.
func (s *Server) current(w http.ResponseWriter) *config.Versioned {
	cur := s.opts.Configs.Current()
	if cur == nil {
		problem.New(http.StatusNotFound, codeUnconfigured, "No configuration is in force on this host yet.").Write(w)
	}
	return cur
}

func (s *Server) validateConfig(w http.ResponseWriter, r *http.Request) {
	doc := s.readDocument(w, r)
	if doc == nil {
		return
	}
	s.writeJSON(w, r, http.StatusOK, struct{}{})
}

// readDocument reads and validates a document. On failure it returns nil and has
// written the error response, unless the client disconnected.
func (s *Server) readDocument(w http.ResponseWriter, r *http.Request) *config.Document {
	release := s.acquireParseSlot(w, r)
	if release == nil {
		return nil
	}
	defer release()
	body, p := readBody[DocumentRequest](w, r, maxDocumentBody)
	if p != nil {
		p.Write(w)
		return nil
	}
	doc, err := config.Parse([]byte(body.Document))
	if err != nil {
		writeInvalid(w, err)
		return nil
	}
	return doc
}

func (s *Server) diffConfig(w http.ResponseWriter, r *http.Request) {
	doc := s.readDocument(w, r)
	if doc == nil {
		return
	}
	out := DiffResponse{Changes: []config.Change{}}
	var old *config.Document
	if cur := s.opts.Configs.Current(); cur != nil {
		out.Base, old = cur.Version, &cur.Document
	}
	out.Changes = append(out.Changes, config.Diff(old, doc)...)
	s.writeJSON(w, r, http.StatusOK, out)
}

func (s *Server) publishConfig(w http.ResponseWriter, r *http.Request) {
	release := s.acquireParseSlot(w, r)
	if release == nil {
		return
	}
	body, p := readBody[PublishRequest](w, r, maxDocumentBody)
	if p != nil {
		release()
		p.Write(w)
		return
	}
	doc, err := config.Parse([]byte(body.Document))
	release()
	s.apply(w, r, &change{
		caller: identity(r), reason: body.Reason, base: body.Base, replacesDocument: true, force: body.Force,
		build: func(*config.Document) (*config.Document, error) { return doc, err },
	}, body.WaitSeconds)
}

func (s *Server) showHosts(w http.ResponseWriter, r *http.Request) {
	s.writeJSON(w, r, http.StatusOK, struct {
		Hosts []HostVersion `json:"hosts"`
	}{s.hostVersions(r.Context())})
}

func (s *Server) hostVersions(ctx context.Context) []HostVersion {
	out := []HostVersion{}
	for _, h := range s.opts.Configs.Versions(ctx) {
		out = append(out, HostVersion{Host: h.Host, Version: h.Version, Answered: h.Answered})
	}
	return out
}

// waitUntilInForce polls the hosts until each has version v or a later one in
// force, or the time is up, and returns the last result.
func (s *Server) waitUntilInForce(ctx context.Context, v config.Version, seconds int) []HostVersion {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(seconds)*time.Second, maxWait))
	defer cancel()
	for {
		hosts := s.hostVersions(ctx)
		if allInForce(hosts, v) {
			return hosts
		}
		select {
		case <-ctx.Done():
			return hosts
		case <-time.After(pollInterval):
		}
	}
}

func allInForce(hosts []HostVersion, v config.Version) bool {
	for _, h := range hosts {
		if h.Version < v {
			return false
		}
	}
	return true
}
