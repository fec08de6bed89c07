package interference

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkJudge measures one review, with three victims with as many samples as are kept, on
// 350 workers. The owner makes it under its lock.
func BenchmarkJudge(b *testing.B) {
	m, rng := New(threshold), rand.New(rand.NewPCG(1, 1))
	for v := range 3 {
		for n := range maxSamples {
			s := Sample{Worker: fmt.Sprint(n % 350), Value: rng.NormFloat64(), Present: Exposures{}, wave: wave{step: fmt.Sprint(n / 13)}}
			for p := range 4 {
				s.Present[fmt.Sprint(p)] = rng.Float64()
			}
			m.Observe(fmt.Sprint(v), s)
		}
	}
	for b.Loop() {
		m.Judge(time.Second)
	}
}
