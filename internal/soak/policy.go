package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"coltsfootmux/platform"
)

// plainMaxTries is the number of tries that the queues allow but under the mixed load.
const plainMaxTries = 20

// policyFormat is the policy; the version, the routes, whether workers check what fits, and the
// guaranteed GPUs are filled in.
const policyFormat = `{"version":%d,"routes":[%s],
"backends":[{"name":"p","admission_check":%t}],"limits":{"max_body_bytes":65536},"tenants":[{"name":"t","api_keys":["key-1"],"guaranteed":{"gpu":%d}},
{"name":"b","api_keys":["key-2"],"guaranteed":{"gpu":%d}}]}`

// Routes of the queues.
const (
	plainRoutes = `{"name":"r","host":"jobs.example","path_prefix":"/q/","timeout_ms":3000,"slo_ms":500,"priority":1,"backend":"p","max_tries":20,"stretch":2},
{"name":"u","host":"jobs.example","path_prefix":"/u/","timeout_ms":3000,"slo_ms":500,"priority":0,"backend":"p","max_tries":20,"stretch":1.5}`
	mixedRoutes = `{"name":"r","host":"jobs.example","path_prefix":"/q/","timeout_ms":3000,"slo_ms":1200,"priority":1,"backend":"p","max_tries":4,"stretch":3},
{"name":"u","host":"jobs.example","path_prefix":"/u/","timeout_ms":3000,"slo_ms":500,"priority":0,"backend":"p","max_tries":4,"stretch":1.5},
{"name":"f","host":"jobs.example","path_prefix":"/f/","timeout_ms":3000,"slo_ms":3000,"priority":2,"backend":"p","max_tries":3,"stretch":3},
{"name":"a","host":"jobs.example","path_prefix":"/a/","timeout_ms":3000,"slo_ms":3000,"priority":1,"backend":"p","max_tries":4,"stretch":3,"advice":{"decide_ms":150,"each_ms":4,"valid_ms":2000}}`
)

// unguarded reports whether the workers start whatever they are told to.
func (s *testbed) unguarded() bool { return s.opts.Seed%2 == 0 }

// putPolicy writes the next version of the policy, with routes that no caller uses.
func (s *testbed) putPolicy(routes int) {
	s.policyMu.Lock()
	defer s.policyMu.Unlock()
	s.policyVersion++
	all := plainRoutes
	guaranteed := [...]int{16, 4}
	if s.opts.Mixed {
		all = mixedRoutes
		guaranteed = [...]int{2 * s.opts.Workers, s.opts.Workers / 2}
	}
	var further strings.Builder
	for n := range routes {
		fmt.Fprintf(&further, `,{"name":"x%d","host":"other.example","path_prefix":"/x%d/","timeout_ms":3000,"slo_ms":500,"priority":2,"backend":"p","max_tries":3,"stretch":2}`, n, n)
	}
	text := fmt.Sprintf(policyFormat, s.policyVersion, all+further.String(), !s.unguarded(), guaranteed[0], guaranteed[1])
	s.store.Put(platform.TopicPolicy, platform.KeyPolicy, []byte(text))
}

const (
	// policyStream keeps the random numbers of changes of the policy apart from those of all else.
	policyStream = 14
	// maxFurtherRoutes bounds the routes that no caller uses.
	maxFurtherRoutes = 1500
)

// changePolicy changes the policy time after time. That is no fault: work has to go on beside it.
func (s *testbed) changePolicy(until time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, policyStream))
	for {
		time.Sleep(time.Duration((0.5 + rng.Float64()) * float64(s.opts.PolicyEvery)))
		if time.Now().After(until) {
			return
		}
		s.putPolicy(rng.IntN(maxFurtherRoutes))
	}
}
