package scheduler

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

func TestOpenJobsAreAppendedAnewBeforeTheLogForgetsThem(t *testing.T) {
	const retention = time.Hour
	o := newOpenJobs(retention)
	now := time.Unix(0, 0)
	last := make(map[model.Key]time.Time)
	for i := range 200 {
		k := model.Key(fmt.Sprint(i))
		o.add(now, jobRecord{Work: model.Work{Key: k}})
		last[k] = now
	}
	o.remove("7")
	for end := now.Add(5 * retention); now.Before(end); now = now.Add(time.Second) {
		for _, r := range o.due(now) {
			last[r.Work.Key] = now
		}
		for k, at := range last {
			if k != "7" && now.Sub(at) >= retention {
				t.Fatalf("job %s was last appended %v ago", k, now.Sub(at))
			}
		}
	}
	if last["7"] != time.Unix(0, 0) {
		t.Fatal("an ended job was appended anew")
	}
}
