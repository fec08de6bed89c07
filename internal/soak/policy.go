package soak

import (
	"fmt"
	"strings"

	"coltsfootmux/platform"
)

// policyFormat is the policy; the version, the further routes and whether workers check what
// fits are filled in.
const policyFormat = `{"version":%d,"routes":[{"name":"r","host":"jobs.example","path_prefix":"/q/","timeout_ms":3000,"slo_ms":500,"priority":1,"backend":"p","max_tries":20,"stretch":2},
{"name":"u","host":"jobs.example","path_prefix":"/u/","timeout_ms":3000,"slo_ms":500,"priority":0,"backend":"p","max_tries":20,"stretch":1.5}%s],
"backends":[{"name":"p","admission_check":%t}],"limits":{"max_body_bytes":65536},"tenants":[{"name":"t","api_keys":["key-1"],"guaranteed":{"gpu":16}},
{"name":"b","api_keys":["key-2"],"guaranteed":{"gpu":4}}]}`

// unguarded reports whether the workers start whatever they are told to.
func (s *testbed) unguarded() bool { return s.opts.Seed%2 == 0 }

// putPolicy writes the next version of the policy, with routes that no caller uses.
func (s *testbed) putPolicy(routes int) {
	s.policyVersion++
	var further strings.Builder
	for n := range routes {
		fmt.Fprintf(&further, `,{"name":"x%d","host":"other.example","path_prefix":"/x%d/","timeout_ms":3000,"slo_ms":500,"priority":2,"backend":"p","max_tries":3,"stretch":2}`, n, n)
	}
	text := fmt.Sprintf(policyFormat, s.policyVersion, further.String(), !s.unguarded())
	s.store.Put(platform.TopicPolicy, platform.KeyPolicy, []byte(text))
}
