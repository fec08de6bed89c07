package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from the settings file in DEPLOY.md.
const (
	recordBytes = 262144
	callBytes   = 2097152
	historyTime = 20 * time.Second
	pageItems   = 500
	pageBytes   = 1 << 20
)

type record struct {
	key   string
	value []byte
	at    time.Time
}

type producer struct {
	epoch, seq int64
	results    map[int64][2]int64
}

type topic struct {
	// records are those that are kept, from offset first on.
	records   []record
	first     int64
	newest    map[string]int64
	values    map[string][]byte
	producers map[string]*producer
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// store is a stand-in for the platform's store. Every topic has one partition and is keyed.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	down    bool
	// refused is the number of appends that were refused for their size.
	refused int
	// largest is the size of the largest record that was accepted.
	largest int
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int64), values: make(map[string][]byte), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// sizes returns how many appends were refused for their size, and the size of the largest record.
func (s *store) sizes() (refused, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused, s.largest
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record as the operator or a worker; nil deletes the key.
func (s *store) put(name, key string, value any) {
	var b []byte
	if value != nil {
		var err error
		if b, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([]record{{key: key, value: b}})
	s.wake()
}

// newestValue returns the newest record of a key.
func (s *store) newestValue(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).values[key]
}

func (t *topic) add(rs []record) {
	now := time.Now()
	for _, r := range rs {
		r.at = now
		if len(r.value) == 0 {
			delete(t.newest, r.key)
			delete(t.values, r.key)
		} else {
			t.newest[r.key], t.values[r.key] = t.end(), r.value
		}
		t.records = append(t.records, r)
	}
	expired := 0
	for expired < len(t.records) && now.Sub(t.records[expired].at) > historyTime {
		expired++
	}
	t.records = t.records[expired:]
	t.first += int64(expired)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.silent(r) {
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		time.Sleep(2 * time.Millisecond)
		s.append(w, r, body)
	case "GET /log-read":
		s.read(w, r)
	case "GET /log-newest":
		s.newestPage(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// silent holds a call without an answer while the store is down. Then its connection breaks.
func (s *store) silent(r *http.Request) bool {
	was := false
	for {
		s.mu.Lock()
		down, changed := s.down, s.changed
		s.mu.Unlock()
		if !down {
			break
		}
		was = true
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	if was {
		panic(http.ErrAbortHandler)
	}
	return false
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	var rs []record
	total := 0
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n < 1 || n > len(rest)-4 || int(rest[4]) >= n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k := int(rest[4])
		rs = append(rs, record{key: string(rest[5 : 5+k]), value: slices.Clone(rest[5+k : 4+n])})
		total += n
		s.mu.Lock()
		tooLarge := n > recordBytes || total > callBytes
		if tooLarge {
			s.refused++
		} else {
			s.largest = max(s.largest, n)
		}
		s.mu.Unlock()
		if tooLarge {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rest = rest[4+n:]
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if q.Has("at") && number(r, "at") != t.end() {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": t.end()})
		return
	}
	if q.Has("producer") {
		p, epoch, seq := t.producers[q.Get("producer")], number(r, "epoch"), number(r, "seq")
		switch {
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, seq: seq - 1, results: make(map[int64][2]int64)}
			t.producers[q.Get("producer")] = p
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if len(rs) == 0 {
			reply(w, http.StatusOK, map[string]any{"offset": t.end(), "end": t.end()})
			return
		}
		if done, ok := p.results[seq]; ok {
			reply(w, http.StatusOK, map[string]any{"offset": done[0], "end": done[1]})
			return
		}
		if seq != p.seq+1 {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
			return
		}
		p.seq = seq
		p.results[seq] = [2]int64{t.end(), t.end() + int64(len(rs))}
		delete(p.results, seq-5)
	}
	from := t.end()
	t.add(rs)
	s.wake()
	reply(w, http.StatusOK, map[string]any{"offset": from, "end": t.end()})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	name, from := r.URL.Query().Get("topic"), number(r, "from")
	maxBytes := max(number(r, "max_kb"), 1) << 10
	timeout := time.NewTimer(time.Duration(min(number(r, "wait_ms"), 30000)) * time.Millisecond)
	defer timeout.Stop()
	for over := false; ; {
		s.mu.Lock()
		t := s.topic(name)
		changed, end, first := s.changed, t.end(), t.first
		var rs []record
		if from >= first && from < end {
			rs = t.records[from-first:]
		}
		s.mu.Unlock()
		s.silent(r)
		if from < first {
			reply(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if len(rs) > 0 || over {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for n, x := range rs {
				if n > 0 && int64(len(out)+len(x.value)) > maxBytes {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(x.key)+len(x.value)))
				out = append(out, byte(len(x.key)))
				out = append(append(out, x.key...), x.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestPage(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, after := s.topic(r.URL.Query().Get("topic")), r.URL.Query().Get("after")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, more, size := []item{}, false, 0
	for _, k := range keys {
		size += len(t.values[k])
		if more = len(items) == pageItems || len(items) > 0 && size > pageBytes; more {
			break
		}
		items = append(items, item{k, t.values[k], t.newest[k]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": t.end()})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
