package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/external"
)

func rec(k, v string) []external.Record { return []external.Record{{Key: k, Value: []byte(v)}} }

func TestConditionalAppendMeetsTheEndThatItNames(t *testing.T) {
	s := New()
	expectedEnd := int64(0)
	if _, err := s.Append(t.Context(), external.Append{Topic: "t", ExpectedEnd: &expectedEnd, Records: rec("a", "1")}); err != nil {
		t.Fatal(err)
	}
	var conflict *external.ConflictError
	if _, err := s.Append(t.Context(), external.Append{Topic: "t", ExpectedEnd: &expectedEnd, Records: rec("a", "2")}); !errors.As(err, &conflict) || conflict.End != 1 {
		t.Fatalf("error %v, want a conflict with end 1", err)
	}
}

func TestProducerIsIdempotentAndFenced(t *testing.T) {
	s := New()
	put := func(epoch, seq int64, v string) (int64, error) {
		return s.Append(t.Context(), external.Append{Topic: "t", Records: rec("a", v), Producer: &external.Producer{Name: "p", Epoch: epoch, Seq: seq}})
	}
	first, err := put(1, 1, "x")
	if err != nil {
		t.Fatal(err)
	}
	repeated, err := put(1, 1, "x")
	if err != nil || repeated != first {
		t.Fatalf("the repeated append returned %d, %v", repeated, err)
	}
	var gap *external.SequenceError
	if _, err := put(1, 5, "y"); !errors.As(err, &gap) || gap.Expected != 2 {
		t.Fatalf("error %v, want 2 expected", err)
	}
	if _, err := s.Append(t.Context(), external.Append{Topic: "t", Producer: &external.Producer{Name: "p", Epoch: 2}}); err != nil {
		t.Fatal(err)
	}
	if _, err := put(1, 2, "z"); !errors.Is(err, external.ErrFenced) {
		t.Fatalf("error %v, want fenced", err)
	}
	if _, err := put(2, 1, "z"); err != nil {
		t.Fatal(err)
	}
}

func TestExpiredRecordsAreStillNewest(t *testing.T) {
	s := New()
	s.Put("t", "a", []byte("1"))
	s.Expire("t")
	var expired *external.ExpiredError
	if _, err := s.Read(t.Context(), "t", 0, 0); !errors.As(err, &expired) || expired.First != 1 {
		t.Fatalf("error %v", err)
	}
	p, err := s.Newest(t.Context(), "t")
	if err != nil || len(p.Records) != 1 || p.End != 1 {
		t.Fatalf("%+v, %v", p, err)
	}
}

func TestReadWaitsForARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		go func() {
			time.Sleep(300 * time.Millisecond)
			s.Put("t", "a", []byte("1"))
		}()
		began := time.Now()
		p, err := s.Read(context.Background(), "t", 0, time.Second)
		if err != nil || len(p.Records) != 1 || time.Since(began) != 300*time.Millisecond {
			t.Fatalf("%+v, %v after %v", p, err, time.Since(began))
		}
	})
}

func TestTopicCarriesOutOneAppendAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.SetFault(Fault{AppendTime: 500 * time.Millisecond})
		var done, refused atomic.Int64
		var wg sync.WaitGroup
		for n := range 8 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
				defer cancel()
				_, err := s.Append(ctx, external.Append{Topic: "t", Records: rec(fmt.Sprint(n), "1")})
				switch {
				case err == nil:
					done.Add(1)
				case errors.Is(err, external.ErrNotExecuted):
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		if done.Load() != 1 || refused.Load() != 3 {
			t.Errorf("%d done and %d refused within 0.7 s, want 1 and 3", done.Load(), refused.Load())
		}
		time.Sleep(3 * time.Second)
		if p, err := s.Newest(t.Context(), "t"); err != nil || len(p.Records) != 5 {
			t.Errorf("%d records, %v; want the 5 that were accepted", len(p.Records), err)
		}
	})
}
